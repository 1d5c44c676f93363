// Package coordinator owns the control state of a daemon: what the fleet is, who holds which keys, and what is to be written.
package coordinator
