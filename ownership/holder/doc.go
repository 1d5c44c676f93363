// Package holder holds a member's lease in one group and the states of the shards that it serves, takes over or hands over.
package holder
