// Command lagoond is the daemon beside a backend server: it takes callers' requests and brings each to the owner of its key.
package main
