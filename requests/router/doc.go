// Package router decides which instance serves a request, based on an immutable snapshot of the published set, the group records and this instance's leases.
package router
