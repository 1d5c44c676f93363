// Package announcer takes the announcement of the backend server beside the daemon and keeps the way to it.
package announcer
