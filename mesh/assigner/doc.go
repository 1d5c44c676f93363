// Package assigner assigns key ranges to the daemon's backend server, and tracks until when it may own them.
package assigner
