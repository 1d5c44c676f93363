// Package caller is the client of the administration API of a daemon.
package caller
