// Package sampler finds the busiest keys and shards of a stream of requests in bounded memory.
package sampler
