// Package caller calls the administration API of a daemon.
package caller
