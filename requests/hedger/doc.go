// Package hedger decides when a second copy of a slow idempotent read is sent to another instance.
package hedger
