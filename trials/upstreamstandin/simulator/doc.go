// Package simulator simulates the execution of requests by a backend server: slots, queue, cold start, fencing tokens and the log of runs.
package simulator
