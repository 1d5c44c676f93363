// Package dispatcher takes each request to its owner, or serves it here, and tells its caller what became of it.
package dispatcher
