// Package caller generates a mixed load on a deployment in the way of its callers: with deadlines, idempotency keys, tickets and retries.
package caller
