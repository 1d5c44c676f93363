// Package forwarder finds the backend server for each request of a client, and tries another where that can do no harm.
package forwarder
