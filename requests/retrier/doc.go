// Package retrier decides whether and when a request is retried, within a retry budget.
package retrier
