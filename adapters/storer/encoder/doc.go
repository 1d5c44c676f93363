// Package encoder converts entries and listings of the platform's store to and from JSON.
package encoder
