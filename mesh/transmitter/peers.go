package transmitter

import (
	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/connector"
)

// Peers provides the feeds of other daemons, and access to the store through them.
type Peers struct {
	pool *connector.Pool
}

var (
	_ lagoonlanding.PeerFeeds  = (*Peers)(nil)
	_ lagoonlanding.PeerStores = (*Peers)(nil)
	_ lagoonlanding.QuotaPeers = (*Peers)(nil)
)

// peer is another daemon that this one calls.
type peer struct {
	pool    *connector.Pool
	address string
}

// NewPeers returns peers that are called over connections of the pool.
func NewPeers(pool *connector.Pool) *Peers { return &Peers{pool: pool} }

// Feed returns the feed of the daemon at the address.
func (peers *Peers) Feed(address string) lagoonlanding.PeerFeed {
	return &feed{peer{pool: peers.pool, address: address}}
}

// Store returns the store as reached through the daemon at the address.
func (peers *Peers) Store(address string) lagoonlanding.LeaseStore {
	return &peerStore{peer{pool: peers.pool, address: address}}
}
