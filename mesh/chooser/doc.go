// Package chooser selects the backend server with the shortest expected response time, plus a cost for its distance.
package chooser
