// Package throttler decides at one daemon whether a request is within the quota of its workspace.
//
// A request uses a credit that the daemon holds under a lease, or else the daemon's reserve, which needs no lease. The decision takes one lock
// and no message; it handles any rate of requests that one daemon can serve, and a state for each workspace that has sent requests or whose
// credits were leased.
package throttler
