// Package provider holds the state of the stand-in for the platform's store: entries, leases, caps on calls and the switches for faults.
package provider
