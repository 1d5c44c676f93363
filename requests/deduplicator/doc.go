// Package deduplicator keeps the ledger of non-idempotent requests, by which no request runs twice on one owner of its shard.
package deduplicator
