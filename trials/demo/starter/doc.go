// Package starter starts the processes of a deployment and signals them by process ID.
package starter
