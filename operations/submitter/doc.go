// Package submitter writes checked sets to the store, each with a compare-and-swap, and keeps the latest ones as history.
package submitter
