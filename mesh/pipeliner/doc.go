// Package pipeliner decides which of the requests that a client has sent ahead on one connection run, wait or are cancelled.
package pipeliner
