// Package gatekeeper implements admission control in front of the backend server beside the daemon.
package gatekeeper
