// Package receiver is the HTTP front end for callers.
package receiver
