package carrier

import (
	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/caller"
)

// Peers gives what other daemons hear from the store, and the store as they reach it.
type Peers struct {
	pool *caller.Pool
}

var (
	_ lagoonlanding.PeerFeeds  = (*Peers)(nil)
	_ lagoonlanding.PeerStores = (*Peers)(nil)
)

// peer is one daemon that questions are put to.
type peer struct {
	pool    *caller.Pool
	address string
}

// NewPeers returns the daemons that are reached through the pool.
func NewPeers(pool *caller.Pool) *Peers { return &Peers{pool: pool} }

// Feed returns the feed of the daemon at the address.
func (peers *Peers) Feed(address string) lagoonlanding.Feed {
	return &feed{peer{pool: peers.pool, address: address}}
}

// Store returns the store behind the daemon at the address.
func (peers *Peers) Store(address string) lagoonlanding.LeaseStore {
	return &peerStore{peer{pool: peers.pool, address: address}}
}
