// Package messenger implements the RPC client and server for messages between daemons, based on net/rpc.
//
// Control messages and forwarded requests use separate connections to each peer, so that a large body never delays a lease renewal.
package messenger
