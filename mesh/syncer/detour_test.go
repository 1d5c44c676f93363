package syncer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
)

// lendingPeers carry calls out at a store of their own; others hear nothing from it.
type lendingPeers struct {
	store *countingStore
	lends string
}

func (peers *lendingPeers) Store(address string) lagoonlanding.LeaseStore {
	if address == peers.lends {
		return peers.store
	}
	deaf := newCountingStore()
	deaf.setDown(true)
	return deaf
}

// newTurnedAway returns a syncer that knows three other daemons, of which one carries calls out.
func newTurnedAway(store *countingStore) (*Syncer, *lendingPeers) {
	syncer := newSyncer(store)
	peers := &lendingPeers{store: newCountingStore(), lends: "address-of-two"}
	syncer.config.Stores, syncer.config.Peers = peers, &tellingPeers{asked: map[string]int{}, touched: true}
	syncer.config.Coordinator.Apply(time.Time{}, newFleet("one", "two", "three"))
	return syncer, peers
}

func newFleet(names ...string) lagoonlanding.ChangeList {
	var changes []lagoonlanding.Change
	for number, name := range names {
		value := fmt.Sprintf(`{"daemon":%q,"peer-address":"address-of-%s","state":"absent"}`, name, name)
		changes = append(changes, lagoonlanding.NewChange(lagoonlanding.NewEntry(coordinator.FleetPrefix+"daemons/"+name, []byte(value), uint64(number+1)), false))
	}
	return lagoonlanding.NewChangeList(changes, uint64(len(names)))
}

func TestDaemonThatTheStoreTurnsAwayKeepsItsLeaseThroughAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCountingStore()
		syncer, peers := newTurnedAway(store)
		run(t, syncer)
		time.Sleep(3 * time.Second)
		store.setDown(true)
		asked := store.count("keep")
		// Nine seconds are longer than a lease, and than keys may be granted without a proof.
		for range 9 {
			time.Sleep(time.Second)
		}
		if kept := peers.store.count("keep"); kept < 6 {
			t.Errorf("the lease was kept %d times in nine seconds", kept)
		}
		if direct := store.count("keep") - asked; direct > 6 {
			t.Errorf("the store was asked %d times in nine seconds without an answer", direct)
		}
		store.setDown(false)
		time.Sleep(detourTerm + renewInterval + probeTerm)
		before := peers.store.count("keep")
		time.Sleep(3 * time.Second)
		if after := peers.store.count("keep"); after != before {
			t.Error("calls still go through another daemon though the store answers again")
		}
	})
}

func TestDaemonLendsOnlyWhatItHas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCountingStore()
		syncer := newSyncer(store)
		run(t, syncer)
		time.Sleep(3 * time.Second)
		if err := syncer.Lend().KeepAlive(t.Context(), 4); err != nil {
			t.Errorf("got %v from a daemon that the store answers", err)
		}
		store.setDown(true)
		time.Sleep(3 * time.Second)
		before := store.count("keep")
		for range 20 {
			if err := syncer.Lend().KeepAlive(t.Context(), 4); err == nil {
				t.Error("a daemon that the store does not answer carried a call out")
			}
		}
		if asked := store.count("keep") - before; asked > 1 {
			t.Errorf("the store was asked %d times for others though it does not answer", asked)
		}
	})
}

func TestOutageOfTheStoreIsNotMadeWorseByDetours(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCountingStore()
		syncer, peers := newTurnedAway(store)
		peers.store.setDown(true)
		store.setDown(true)
		run(t, syncer)
		time.Sleep(10 * time.Second)
		// A daemon without a lease asks for one at each longest pause.
		if asked := store.count("grant"); asked > 25 {
			t.Errorf("the store was asked for a lease %d times in ten seconds without an answer", asked)
		}
	})
}
