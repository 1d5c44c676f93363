// Package announcer receives the announcements of the backend server beside the daemon and sends requests to the address that was announced last.
package announcer
