// Package keeper implements the table of a key-value store, in which each write gets the next store-wide revision.
package keeper
