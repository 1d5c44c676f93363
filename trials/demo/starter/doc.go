// Package starter starts the processes of a deployment and ends each of them by its own process id.
package starter
