// Package storer reaches the platform's key-value store over HTTP and offers a store in memory for tests.
package storer
