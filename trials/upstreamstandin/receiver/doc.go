// Package receiver answers the HTTP requests to the stand-in for a backend server.
package receiver
