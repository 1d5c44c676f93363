// Package recorder counts requests and serves the counts and latencies as a page of metrics.
package recorder
