// Package connector implements an HTTP client with a connection pool that reports whether any byte of a failed request was sent.
package connector
