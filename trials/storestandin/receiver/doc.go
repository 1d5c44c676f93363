// Package receiver answers the HTTP calls to the stand-in for the platform's store.
package receiver
