package syncer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
)

// applyTime is how long after its acknowledgement a configuration may take to be in force everywhere.
const applyTime = 2 * time.Second

// secondTakeoverTime leaves the followers of the second daemon of a zone some of the apply time to find it.
const secondTakeoverTime = 1800 * time.Millisecond

// relayFleet simulates daemons that relay configurations, and that can freeze or whose connections can go silent.
type relayFleet struct {
	mutex   sync.Mutex
	version uint64
	changed chan struct{}
	// frozen are the addresses of daemons that respond to nothing.
	frozen map[string]bool
	// epochs counts how often the connections to an address went silent.
	epochs map[string]int
	// disconnected are the addresses of daemons that receive no changes from the store.
	disconnected map[string]bool
}

func newRelayFleet() *relayFleet {
	return &relayFleet{version: 2, changed: make(chan struct{}), frozen: map[string]bool{}, epochs: map[string]int{}, disconnected: map[string]bool{}}
}

// update changes the fleet and wakes its watches.
func (relayfleet *relayFleet) update(change func()) {
	relayfleet.mutex.Lock()
	defer relayfleet.mutex.Unlock()
	change()
	close(relayfleet.changed)
	relayfleet.changed = make(chan struct{})
}

func (relayfleet *relayFleet) Feed(address string) lagoonlanding.PeerFeed {
	return fleetPeer{fleet: relayfleet, address: address}
}

type fleetPeer struct {
	fleet   *relayFleet
	address string
}

// state returns the version that the daemon relays, the epoch of its connections, and a channel that is closed at the next change.
func (fleetpeer fleetPeer) state(ctx context.Context) (version uint64, epoch int, changed chan struct{}, err error) {
	fleetpeer.fleet.mutex.Lock()
	isFrozen := fleetpeer.fleet.frozen[fleetpeer.address]
	fleetpeer.fleet.mutex.Unlock()
	if isFrozen {
		<-ctx.Done()
		return 0, 0, nil, ctx.Err()
	}
	fleetpeer.fleet.mutex.Lock()
	defer fleetpeer.fleet.mutex.Unlock()
	if fleetpeer.fleet.disconnected[fleetpeer.address] {
		err = lagoonlanding.ErrStoreDisconnected
	}
	return fleetpeer.fleet.version, fleetpeer.fleet.epochs[fleetpeer.address], fleetpeer.fleet.changed, err
}

func (fleetpeer fleetPeer) Probe(ctx context.Context, _ string) error {
	_, _, _, err := fleetpeer.state(ctx)
	return err
}

func (fleetpeer fleetPeer) List(ctx context.Context, prefix string) (lagoonlanding.Listing, error) {
	version, _, _, err := fleetpeer.state(ctx)
	return lagoonlanding.NewListing(entriesOf(prefix, version), version), err
}

func (fleetpeer fleetPeer) Watch(ctx context.Context, prefix string, after uint64) (lagoonlanding.ChangeList, error) {
	_, begun, _, err := fleetpeer.state(ctx)
	timeout := time.After(700 * time.Millisecond)
	for err == nil {
		version, epoch, changed, failure := fleetpeer.state(ctx)
		if epoch != begun {
			<-ctx.Done()
			return lagoonlanding.ChangeList{}, ctx.Err()
		}
		if version > after || failure != nil {
			var changes []lagoonlanding.Change
			for _, entry := range entriesOf(prefix, version) {
				changes = append(changes, lagoonlanding.NewChange(entry, false))
			}
			return lagoonlanding.NewChangeList(changes, version), failure
		}
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case <-timeout:
			return lagoonlanding.NewChangeList(nil, version), nil
		case <-changed:
		}
	}
	return lagoonlanding.ChangeList{}, err
}

// entriesOf returns the configuration with its version if the prefix is that of the directives.
func entriesOf(prefix string, version uint64) []lagoonlanding.Entry {
	if prefix == coordinator.FleetPrefix {
		return nil
	}
	return []lagoonlanding.Entry{lagoonlanding.NewEntry(prefix+"one", []byte{byte(version)}, version)}
}

// register makes the daemons known to the syncer; their addresses are "address-of-", the name and a port.
func register(syncer *Syncer, names ...string) {
	syncer.do(func(state *coordinator.Coordinator, now time.Time) {
		var changes []lagoonlanding.Change
		for number, name := range names {
			value := fmt.Sprintf(`{"daemon":%q,"peer-address":"address-of-%s:1","state":"absent"}`, name, name)
			changes = append(changes, lagoonlanding.NewChange(lagoonlanding.NewEntry(coordinator.FleetPrefix+"daemons/"+name, []byte(value), uint64(number+10)), false))
		}
		state.Apply(now, lagoonlanding.NewChangeList(changes, 40))
	})
}

// startFollower runs a syncer that follows the first of the daemons, and waits until it is up to date.
func startFollower(t *testing.T, fleet *relayFleet, store *countingStore, names ...string) *Syncer {
	syncer := newSyncer(store)
	syncer.config.Peers = fleet
	store.peers = []lagoonlanding.Entry{lagoonlanding.NewEntry(coordinator.ZonePrefix("")+names[0], []byte("address-of-"+names[0]+":1"), 1)}
	run(t, syncer)
	time.Sleep(3 * time.Second)
	register(syncer, names...)
	time.Sleep(3 * time.Second)
	if version := versionOf(syncer); version != 2 {
		t.Fatalf("version %d is in force at the start", version)
	}
	return syncer
}

func versionOf(syncer *Syncer) int64 {
	if routing := syncer.config.Coordinator.Snapshot().Routing(); routing != nil {
		return routing.Version()
	}
	return 0
}

func TestSilentConnectionIsNotTakenForASilentRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newRelayFleet()
		fleet.disconnected["address-of-b:1"] = true
		syncer := startFollower(t, fleet, newCountingStore(), "a", "b")
		fleet.update(func() { fleet.epochs["address-of-a:1"]++; fleet.version = 3 })
		time.Sleep(applyTime)
		if version := versionOf(syncer); version != 3 {
			t.Errorf("version %d is in force two seconds after the connection to the relay went silent", version)
		}
	})
}

func TestFrozenRelayIsReplacedWithinTheApplyTime(t *testing.T) {
	// The relay freezes at different times after the last watch began.
	for phase := time.Duration(0); phase < 700*time.Millisecond; phase += 100 * time.Millisecond {
		t.Run(fmt.Sprint("second of the zone after ", phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet, store := newRelayFleet(), newCountingStore()
				store.version = 3
				syncer := startFollower(t, fleet, store, "a")
				time.Sleep(phase)
				fleet.update(func() { fleet.frozen["address-of-a:1"], fleet.version = true, 3 })
				time.Sleep(secondTakeoverTime)
				if version := versionOf(syncer); version != 3 {
					t.Errorf("version %d is in force %v after the relay froze", version, secondTakeoverTime)
				}
			})
		})
		t.Run(fmt.Sprint("follower of the second after ", phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet, store := newRelayFleet(), newCountingStore()
				store.version = 3
				fleet.disconnected["address-of-b:1"] = true
				syncer := startFollower(t, fleet, store, "a", "b")
				time.Sleep(phase)
				fleet.update(func() { fleet.frozen["address-of-a:1"], fleet.version = true, 3 })
				time.AfterFunc(secondTakeoverTime, func() { fleet.update(func() { fleet.disconnected["address-of-b:1"] = false }) })
				time.Sleep(applyTime)
				if version := versionOf(syncer); version != 3 {
					t.Errorf("version %d is in force two seconds after the relay froze", version)
				}
			})
		})
	}
}
