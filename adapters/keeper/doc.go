// Package keeper holds the entries of a key-value store, the aggregate whose every write takes the next store-wide revision.
package keeper
