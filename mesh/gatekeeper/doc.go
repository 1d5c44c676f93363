// Package gatekeeper admits tasks to the backend server beside the daemon.
package gatekeeper
