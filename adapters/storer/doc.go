// Package storer implements an HTTP client for the platform's key-value store and an in-memory store for tests.
package storer
