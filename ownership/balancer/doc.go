// Package balancer decides which shards to move away from members that are overloaded by a hot shard.
package balancer
