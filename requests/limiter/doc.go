// Package limiter limits the concurrency of requests to the backend server, with a request queue and a slow start for cold servers.
package limiter
