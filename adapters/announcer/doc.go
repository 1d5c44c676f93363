// Package announcer receives the announcements of the backend server beside the daemon and keeps the connection to it current.
package announcer
