// Package dispatcher serves each request on this instance or forwards it to the instance that owns its shard, and returns the reply.
package dispatcher
