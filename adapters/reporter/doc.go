// Package reporter collects the metrics of the daemon and serves them in the Prometheus format.
package reporter
