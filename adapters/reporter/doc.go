// Package reporter keeps the metrics of the daemon and serves them to a collector.
package reporter
