// Package caller sends a mixed load to a deployment as its callers do: with deadlines, idempotency keys, tickets and retries.
package caller
