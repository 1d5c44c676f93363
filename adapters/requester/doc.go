// Package requester implements an HTTP client transport that rejects broken responses instead of repairing them.
package requester
