// Package allocator decides which backend server holds which shard keys of a divided service.
package allocator
