// Package receiver implements the HTTP interface of the stand-in backend server.
package receiver
