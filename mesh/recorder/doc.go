// Package recorder records request counts and latencies, and serves them as Prometheus metrics.
package recorder
