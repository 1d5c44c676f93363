// Package allocator decides which backend server owns which shard keys of a sharded service.
package allocator
