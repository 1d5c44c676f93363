// Package messenger carries the messages between daemons over net/rpc.
//
// Each peer gets separate connections for control and for forwarded requests, so that a large body never delays a renewal.
package messenger
