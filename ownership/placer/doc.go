// Package placer derives the owner of each shard from a layout: rendezvous hashing with a bounded load.
package placer
