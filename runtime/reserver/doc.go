// Package reserver allocates loopback addresses that no other process uses, for tests.
package reserver
