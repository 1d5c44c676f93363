// Package hedger decides when a slow idempotent read is sent to a second instance.
package hedger
