// Package holder implements a member's lease in one group and the states of the shards that the member serves, takes over or hands over.
package holder
