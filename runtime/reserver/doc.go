// Package reserver gives tests loopback addresses that no other process uses.
package reserver
