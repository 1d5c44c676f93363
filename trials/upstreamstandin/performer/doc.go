// Package performer holds the state of the stand-in for a backend server: slots, queue, cold start, fencing tokens and the log of runs.
package performer
