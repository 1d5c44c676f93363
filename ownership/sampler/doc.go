// Package sampler finds the most frequent keys and shards in a stream of requests with bounded memory.
package sampler
