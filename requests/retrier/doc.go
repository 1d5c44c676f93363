// Package retrier decides whether and when a request is tried again, within a budget.
package retrier
