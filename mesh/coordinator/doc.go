// Package coordinator owns the control state of a daemon: the members of the fleet, the ownership of keys, and pending store writes.
package coordinator
