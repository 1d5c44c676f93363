// Package placer computes the owner of each shard of a layout by rendezvous hashing with bounded loads.
package placer
