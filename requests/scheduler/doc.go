// Package scheduler implements the scheduling policies for the queue of requests to a backend server.
package scheduler
