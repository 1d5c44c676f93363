// Package sampler finds the most frequent names, such as shard numbers, in a stream of requests with bounded memory.
package sampler
