package syncer

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
)

// countingStore counts its calls, and can be made unavailable.
type countingStore struct {
	mutex sync.Mutex
	down  chan struct{}
	calls map[string]int
	// version is the version of the configuration, zero for none.
	version uint64
	// peers are the zone entries that ListStale returns, and newPeers those that only List returns.
	peers, newPeers []lagoonlanding.Entry
}

func newCountingStore() *countingStore { return &countingStore{calls: map[string]int{}} }

// call counts a call and fails while the store is unavailable.
func (store *countingStore) call(kind string) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.calls[kind]++
	if store.down != nil {
		return lagoonlanding.ErrUnavailable
	}
	return nil
}

// setDown makes the store unavailable, or available again.
func (store *countingStore) setDown(isDown bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if isDown {
		store.down = make(chan struct{})
	} else {
		store.down = nil
	}
}

func (store *countingStore) count(kind string) int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.calls[kind]
}

// counts returns the number of calls of each kind.
func (store *countingStore) counts() map[string]int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return maps.Clone(store.calls)
}

func (store *countingStore) List(_ context.Context, prefix string) (lagoonlanding.Listing, error) {
	if prefix == coordinator.ZonePrefix("") {
		return lagoonlanding.NewListing(store.newPeers, 1), store.call("list " + prefix)
	}
	if store.version > 0 {
		return lagoonlanding.NewListing(entriesOf(prefix, store.version), store.version), store.call("list " + prefix)
	}
	return lagoonlanding.NewListing(nil, 1), store.call("list " + prefix)
}

func (store *countingStore) Watch(ctx context.Context, prefix string, after uint64) (lagoonlanding.ChangeList, error) {
	for {
		if err := store.call("look " + prefix); err != nil {
			return lagoonlanding.ChangeList{}, err
		}
		select {
		case <-ctx.Done():
			return lagoonlanding.ChangeList{}, ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (store *countingStore) ListStale(context.Context, string) (lagoonlanding.Listing, error) {
	return lagoonlanding.NewListing(store.peers, 1), store.call("peek")
}
func (store *countingStore) Get(context.Context, string) (lagoonlanding.Entry, error) {
	return lagoonlanding.Entry{}, store.call("get")
}
func (store *countingStore) Commit(context.Context, lagoonlanding.Transaction) (uint64, error) {
	return 1, store.call("commit")
}
func (store *countingStore) Grant(context.Context, time.Duration) (lagoonlanding.LeaseID, error) {
	return 7, store.call("grant")
}
func (store *countingStore) KeepAlive(context.Context, lagoonlanding.LeaseID) error {
	return store.call("keep")
}

// run runs the syncer until the test ends.
func run(t *testing.T, syncer *Syncer) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { syncer.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
}

func TestUnavailableStoreIsRetriedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCountingStore()
		run(t, newSyncer(store))
		time.Sleep(5 * time.Second)
		before := store.count("list orders/")
		store.setDown(true)
		time.Sleep(8 * time.Second)
		if calls := store.count("list orders/") - before; calls > 5 {
			t.Errorf("the store was listed %d times in 8 s without an answer", calls)
		}
		before = store.count("list orders/")
		store.setDown(false)
		// Entries must be read again within two seconds after the store recovers.
		time.Sleep(2 * time.Second)
		if store.count("list orders/") == before {
			t.Error("the store was not listed within two seconds after it recovered")
		}
	})
}

// relayPeers simulates daemons that relay changes while they are connected to the store.
type relayPeers struct {
	mutex     sync.Mutex
	calls     map[string]int
	connected bool
	// disconnected are the addresses of daemons that are disconnected from the store while the others are connected.
	disconnected map[string]bool
}

func (peers *relayPeers) setDisconnected(address string, isDisconnected bool) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	peers.disconnected[address] = isDisconnected
}

func (peers *relayPeers) count(address string) int {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	return peers.calls[address]
}

func (peers *relayPeers) Feed(address string) lagoonlanding.PeerFeed {
	return &relayPeer{peers: peers, address: address}
}

type relayPeer struct {
	peers   *relayPeers
	address string
}

// call counts a call and fails while the daemon is disconnected from the store.
func (peer *relayPeer) call() error {
	peer.peers.mutex.Lock()
	defer peer.peers.mutex.Unlock()
	peer.peers.calls[peer.address]++
	if !peer.peers.connected || peer.peers.disconnected[peer.address] {
		return lagoonlanding.ErrStoreDisconnected
	}
	return nil
}

func (peer *relayPeer) Probe(context.Context, string) error { return peer.call() }

func (peer *relayPeer) List(context.Context, string) (lagoonlanding.Listing, error) {
	return lagoonlanding.NewListing(nil, 1), peer.call()
}

func (peer *relayPeer) Watch(ctx context.Context, _ string, _ uint64) (lagoonlanding.ChangeList, error) {
	if err := peer.call(); err != nil {
		return lagoonlanding.ChangeList{}, err
	}
	select {
	case <-ctx.Done():
		return lagoonlanding.ChangeList{}, ctx.Err()
	case <-time.After(500 * time.Millisecond):
	}
	return lagoonlanding.NewChangeList(nil, 1), nil
}

// newFollower returns a syncer that finds two other daemons of its zone in the store: one before and one after it by name.
func newFollower(store *countingStore, peers *relayPeers) *Syncer {
	store.peers = []lagoonlanding.Entry{
		lagoonlanding.NewEntry(coordinator.ZonePrefix("")+"first", []byte("address-of-first"), 1),
		lagoonlanding.NewEntry(coordinator.ZonePrefix("")+"zeta", []byte("address-of-zeta"), 1),
	}
	return newFollowerOf(store, peers, registrar.Config{})
}

func newFollowerOf(store *countingStore, peers *relayPeers, fleet registrar.Config) *Syncer {
	syncer := newSyncerOf(store, fleet)
	syncer.config.Peers = peers
	return syncer
}

func TestStartingDaemonReceivesChangesFromTheFirstOfItsZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, peers := newCountingStore(), &relayPeers{calls: map[string]int{}, connected: true}
		run(t, newFollower(store, peers))
		time.Sleep(10 * time.Second)
		if first, zeta := peers.count("address-of-first"), peers.count("address-of-zeta"); first == 0 || zeta != 0 {
			t.Errorf("the first daemon was called %d times, the last %d times", first, zeta)
		}
		for kind, count := range store.counts() {
			if strings.HasPrefix(kind, "list") || strings.HasPrefix(kind, "look") {
				t.Errorf("the store was called directly: %d times %s", count, kind)
			}
		}
	})
}

func TestDaemonReadsTheStoreIfNoOtherDaemonRelaysChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, peers := newCountingStore(), &relayPeers{calls: map[string]int{}}
		run(t, newFollower(store, peers))
		time.Sleep(registrationTimeout + peerGracePeriod + time.Second)
		if count := store.count(fmt.Sprint("list ", coordinator.FleetPrefix)); count == 0 {
			t.Error("the daemon waits for changes that no other daemon relays")
		}
	})
}

// setConnected sets whether the peers are connected to the store.
func (peers *relayPeers) setConnected(connected bool) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	peers.connected = connected
}

func TestDaemonReadsTheStoreOnceItsSourcesAreDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, peers := newCountingStore(), &relayPeers{calls: map[string]int{}, connected: true}
		run(t, newFollower(store, peers))
		time.Sleep(5 * time.Second)
		peers.setConnected(false)
		// A configuration must take effect within two seconds, and the store answers this daemon.
		time.Sleep(2 * time.Second)
		if store.count("list orders/") == 0 {
			t.Error("the daemon still waits for disconnected daemons")
		}
	})
}

func TestDaemonWithoutStoreAccessFindsTheOnlyConnectedDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, peers := newCountingStore(), &relayPeers{calls: map[string]int{}, connected: true, disconnected: map[string]bool{}}
		syncer := newFollower(store, peers)
		run(t, syncer)
		time.Sleep(3 * time.Second)
		// In a fleet of twenty only one daemon is connected to the store, and it is not among the first of its zone.
		syncer.do(func(state *coordinator.Coordinator, now time.Time) {
			var changes []lagoonlanding.Change
			for number := range 20 {
				name := fmt.Sprintf("daemon-%02d", number)
				value := fmt.Sprintf(`{"daemon":%q,"peer-address":"address-of-%s:1","state":"absent"}`, name, name)
				changes = append(changes, lagoonlanding.NewChange(lagoonlanding.NewEntry(coordinator.FleetPrefix+"daemons/"+name, []byte(value), uint64(number+10)), false))
				peers.setDisconnected("address-of-"+name+":1", number != 13)
			}
			state.Apply(now, lagoonlanding.NewChangeList(changes, 40))
		})
		peers.setDisconnected("address-of-first", true)
		store.setDown(true)
		time.Sleep(2 * time.Second)
		before := peers.count("address-of-daemon-13:1")
		time.Sleep(2 * time.Second)
		if after := peers.count("address-of-daemon-13:1"); after-before < 3 {
			t.Errorf("the only connected daemon was called %d times in two seconds", after-before)
		}
	})
}

// TestDaemonThatRegistersLateInAFirstStartFindsTheRelaysOfItsZone plays the start of a fleet of 195 daemons, in which the backend servers announce
// themselves over several seconds.
func TestDaemonThatRegistersLateInAFirstStartFindsTheRelaysOfItsZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, peers := newCountingStore(), &relayPeers{calls: map[string]int{}, connected: true}
		syncer := newFollowerOf(store, peers, registrar.Config{VerificationTerm: 7 * time.Second})
		syncer.config.FirstStart = true
		// The stale read is from before the start.
		store.newPeers = []lagoonlanding.Entry{lagoonlanding.NewEntry(coordinator.ZonePrefix("")+"first", []byte("address-of-first"), 1)}
		run(t, syncer)
		time.Sleep(10 * time.Second)
		if peers.count("address-of-first") == 0 {
			t.Error("the daemon that relays changes was not asked")
		}
		for kind, count := range store.counts() {
			if kind == "list "+coordinator.FleetPrefix || kind == "list orders/" || strings.HasPrefix(kind, "look") {
				t.Errorf("the store was called directly: %d times %s", count, kind)
			}
		}
	})
}
