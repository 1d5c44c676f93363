package syncer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
)

// proxyPeers simulates daemons of which only one can make calls to the store for others.
type proxyPeers struct {
	store *countingStore
	// proxyAddress is the peer address of the daemon that can.
	proxyAddress string
}

func (peers *proxyPeers) Store(address string) lagoonlanding.LeaseStore {
	if address == peers.proxyAddress {
		return peers.store
	}
	unreachable := newCountingStore()
	unreachable.setDown(true)
	return unreachable
}

// newSyncerWithProxy returns a syncer that knows three other daemons, of which one can make calls for it.
func newSyncerWithProxy(store *countingStore) (*Syncer, *proxyPeers) {
	syncer := newSyncer(store)
	peers := &proxyPeers{store: newCountingStore(), proxyAddress: "address-of-two:1"}
	syncer.config.Stores, syncer.config.Peers = peers, &relayPeers{calls: map[string]int{}, connected: true}
	syncer.config.Coordinator.Apply(time.Time{}, registrations("one", "two", "three"))
	return syncer, peers
}

// registrations returns the changes that register the named daemons.
func registrations(names ...string) lagoonlanding.ChangeList {
	var changes []lagoonlanding.Change
	for number, name := range names {
		value := fmt.Sprintf(`{"daemon":%q,"peer-address":"address-of-%s:1","state":"absent"}`, name, name)
		changes = append(changes, lagoonlanding.NewChange(lagoonlanding.NewEntry(coordinator.FleetPrefix+"daemons/"+name, []byte(value), uint64(number+1)), false))
	}
	return lagoonlanding.NewChangeList(changes, uint64(len(names)))
}

func TestDaemonWithoutStoreAccessRenewsItsLeaseThroughAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCountingStore()
		syncer, peers := newSyncerWithProxy(store)
		run(t, syncer)
		time.Sleep(3 * time.Second)
		store.setDown(true)
		sent := store.count("keep")
		// Nine seconds are longer than a lease and than keys may be assigned without verification.
		for range 9 {
			time.Sleep(time.Second)
		}
		if renewals := peers.store.count("keep"); renewals < 6 {
			t.Errorf("the lease was renewed %d times in nine seconds", renewals)
		}
		if direct := store.count("keep") - sent; direct > 6 {
			t.Errorf("%d renewals were sent to a store that does not answer in nine seconds", direct)
		}
		store.setDown(false)
		time.Sleep(proxyTerm + renewInterval + probeTimeout)
		before := peers.store.count("keep")
		time.Sleep(3 * time.Second)
		if after := peers.store.count("keep"); after != before {
			t.Error("calls still go through another daemon after the store answers again")
		}
	})
}

func TestDaemonMakesCallsForOthersOnlyWhileTheStoreAnswersIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCountingStore()
		syncer := newSyncer(store)
		run(t, syncer)
		time.Sleep(3 * time.Second)
		if err := syncer.ProxyStore().KeepAlive(t.Context(), 4); err != nil {
			t.Errorf("got %v from a daemon that the store answers", err)
		}
		store.setDown(true)
		time.Sleep(3 * time.Second)
		before := store.count("keep")
		for range 20 {
			if err := syncer.ProxyStore().KeepAlive(t.Context(), 4); err == nil {
				t.Error("a daemon that the store does not answer made a call for another")
			}
		}
		if calls := store.count("keep") - before; calls > 1 {
			t.Errorf("%d calls for others were sent to a store that does not answer", calls)
		}
	})
}

func TestProxyCallsDoNotAddLoadDuringAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCountingStore()
		syncer, peers := newSyncerWithProxy(store)
		peers.store.setDown(true)
		store.setDown(true)
		run(t, syncer)
		time.Sleep(10 * time.Second)
		// A daemon without a lease requests one after each maximum backoff.
		if calls := store.count("grant"); calls > 25 {
			t.Errorf("%d lease requests were sent to a store that does not answer in ten seconds", calls)
		}
	})
}
