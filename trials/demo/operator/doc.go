// Package operator publishes sets as operators do, through their command line.
package operator
