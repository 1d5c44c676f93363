// Package picker chooses the upstream instance for requests to services that are not divided by key.
package picker
