// Package picker implements load balancing policies for requests to services that are not sharded.
package picker
