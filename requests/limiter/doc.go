// Package limiter guards the backend server beside the daemon: its slots, its cold starts, and the queue before it.
package limiter
