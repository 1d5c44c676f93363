// Package forwarder sends each client request to a backend server, and retries it on another one where that is safe.
package forwarder
