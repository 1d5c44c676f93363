// Command lagoond is the daemon that runs beside a backend server: it accepts callers' requests and forwards each to the owner of its key.
package main
