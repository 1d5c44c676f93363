// Package submitter writes checked sets to the store, each by one compare-and-swap, and keeps the last ones as history.
package submitter
