// Package invoker sends requests to the backend server beside the daemon over HTTP.
package invoker
