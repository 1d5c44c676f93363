// Package balancer decides which shards move away from a member that a hot shard keeps busy.
package balancer
