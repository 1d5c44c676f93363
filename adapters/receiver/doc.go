// Package receiver serves callers over HTTP: it reads requests, dispatches them and writes the replies.
package receiver
