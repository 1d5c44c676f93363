// Package provider holds the state of the stand-in store: entries, leases, rate limits and injected faults.
package provider
