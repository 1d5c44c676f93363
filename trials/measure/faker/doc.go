// Package faker stands in for backend servers and joins them with the real limiter.
package faker
