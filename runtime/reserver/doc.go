// Package reserver allocates loopback addresses for tests that no other process uses.
package reserver
