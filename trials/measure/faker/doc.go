// Package faker simulates backend servers, each behind the real limiter of a daemon.
package faker
