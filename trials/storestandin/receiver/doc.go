// Package receiver implements the HTTP interface of the stand-in store.
package receiver
