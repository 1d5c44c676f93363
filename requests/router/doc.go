// Package router decides where a request goes, from an immutable snapshot of the published set, the groups' records and this instance's leases.
package router
