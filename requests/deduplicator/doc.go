// Package deduplicator records non-idempotent requests by idempotency key, so that no request runs twice on the owner of its shard.
package deduplicator
