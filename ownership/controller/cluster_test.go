package controller

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
	"lagoonlanding.example/lagoonlanding/adapters/storer"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/ownership/placer"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// cluster runs controllers over a network without latency and with a simulated clock.
type cluster struct {
	t     *testing.T
	now   time.Time
	store *storer.Memory
	nodes map[string]*Controller
	order []string
	dead  map[string]bool
	// cut holds the pairs of instances of which the first cannot reach the second.
	cut map[[2]string]bool
	// uninformed are the instances that can reach neither the store nor the directories of other instances.
	uninformed   map[string]bool
	incarnations uint64
	// pendingWatches are the instances with a watch that has not returned.
	pendingWatches map[lagoonlanding.InstanceID]bool
}

var errCut = errors.New("cut")

const testShards = 32

var testGroup = lagoonlanding.NewGroupID("status-app", "mesh")

// fixedSet is a codec whose sets differ only in the version and the zone out of service, one byte each.
type fixedSet struct{}

func (fixedset fixedSet) Encode(*publisher.Set) ([]byte, error) { return []byte{1}, nil }

func (fixedset fixedSet) Decode(entry lagoonlanding.Entry) (*publisher.Set, error) {
	zones := make([]publisher.AvailabilityZone, 0, 4)
	for i := range 4 {
		name := fmt.Sprintf("zone-%d", i)
		zones = append(zones, publisher.NewAvailabilityZone(publisher.AvailabilityZoneConfig{
			Name: name, Region: fmt.Sprintf("region-%d", i/2), Out: len(entry.Value()) > 1 && int(entry.Value()[1]) == i,
		}))
	}
	return publisher.NewSet(publisher.SetConfig{
		Version: uint64(entry.Value()[0]), AvailabilityZones: zones,
		Services: []publisher.Service{publisher.NewService(publisher.ServiceConfig{
			Name: "status-app", Divided: true, ChecksFence: true, LongestDeadline: time.Second,
			Partitions: []publisher.Partition{publisher.NewPartition(publisher.PartitionConfig{
				Name: "mesh", Regions: []string{"region-0", "region-1"}, Shards: testShards,
			})},
		})},
	}), nil
}

func newCluster(t *testing.T, count int) *cluster {
	cluster := &cluster{
		t: t, now: time.Unix(1000, 0), store: storer.NewMemory(),
		nodes: make(map[string]*Controller), dead: make(map[string]bool), cut: make(map[[2]string]bool), uninformed: make(map[string]bool),
		pendingWatches: make(map[lagoonlanding.InstanceID]bool),
	}
	if _, err := cluster.store.CompareAndSwap(t.Context(), lagoonlanding.SetKey, 0, []byte{1, 9}); err != nil {
		t.Fatal(err)
	}
	for i := range count {
		cluster.start(fmt.Sprintf("daemon-%d", i), i)
	}
	return cluster
}

func (cluster *cluster) start(name string, index int) {
	cluster.incarnations++
	if _, known := cluster.nodes[name]; !known {
		cluster.order = append(cluster.order, name)
	}
	cluster.nodes[name] = New(Config{
		Self: lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{
			ID: lagoonlanding.NewInstanceID(name, cluster.incarnations), PeerAddress: name, Service: "status-app",
			AvailabilityZone: fmt.Sprintf("zone-%d", index%4), Region: fmt.Sprintf("region-%d", index%4/2),
		}),
		Now: cluster.now, Placer: placer.NewRendezvous(), Records: encoder.Records{}, Sets: fixedSet{},
	})
	cluster.dead[name] = false
}

// run advances the clock tick by tick and performs all actions that the controllers request.
func (cluster *cluster) run(span time.Duration) {
	for end := cluster.now.Add(span); cluster.now.Before(end); {
		cluster.now = cluster.now.Add(TickInterval)
		for _, name := range cluster.order {
			if !cluster.dead[name] {
				cluster.nodes[name].Tick(cluster.now)
				cluster.deliverAll()
				cluster.checkOwners()
			}
		}
	}
}

func (cluster *cluster) deliverAll() {
	for range 1000 {
		busy := false
		for _, name := range cluster.order {
			if !cluster.dead[name] {
				busy = cluster.deliver(cluster.nodes[name]) || busy
			}
		}
		if !busy {
			return
		}
	}
	cluster.t.Fatal("the controllers keep requesting actions")
}

// controllerAt returns the controller at an address, regardless of cut connections.
func (cluster *cluster) controllerAt(to lagoonlanding.Instance) (*Controller, error) {
	if cluster.dead[to.PeerAddress()] {
		return nil, errCut
	}
	return cluster.nodes[to.PeerAddress()], nil
}

func (cluster *cluster) peer(from *Controller, to lagoonlanding.Instance) (*Controller, error) {
	if cluster.cut[[2]string{from.id().Name(), to.PeerAddress()}] {
		return nil, errCut
	}
	return cluster.controllerAt(to)
}

func (cluster *cluster) deliver(node *Controller) bool {
	for _, err := range node.TakeFailures() {
		cluster.t.Log(node.id(), err)
	}
	outbox, now := node.TakeOutbox(), cluster.now
	busy := false
	for _, renewal := range outbox.Renewals() {
		busy = true
		var reply lagoonlanding.RenewReply
		peer, err := cluster.peer(node, renewal.To())
		if err == nil {
			reply = peer.OnRenew(now, renewal.Request())
		}
		node.Renewed(now, renewal, reply, err)
	}
	for _, clearance := range outbox.Clearances() {
		busy = true
		var reply lagoonlanding.ClearanceReply
		peer, err := cluster.peer(node, clearance.To())
		if err == nil {
			reply = peer.OnClear(now, clearance.Request())
		}
		node.Cleared(now, clearance, reply, err)
	}
	for _, join := range outbox.Joins() {
		if peer, err := cluster.peer(node, join.To()); err == nil {
			peer.OnJoin(now, join.Request())
		}
	}
	return cluster.deliverUpdates(node, outbox) || busy
}

func (cluster *cluster) deliverUpdates(node *Controller, outbox Outbox) bool {
	now, busy := cluster.now, false
	for _, fetch := range outbox.Fetches() {
		busy = true
		var reply lagoonlanding.DirectoryReply
		peer, err := cluster.peer(node, fetch.To())
		if cluster.uninformed[node.id().Name()] {
			err = errCut
		}
		if err == nil {
			reply = peer.OnDirectory(fetch.Request())
		}
		node.Fetched(now, reply, err)
	}
	for _, notice := range outbox.Notices() {
		busy = true
		if peer, err := cluster.peer(node, notice.To()); err == nil {
			peer.OnNotice(now, notice.Request())
		}
	}
	for _, drain := range outbox.Drains() {
		busy = true
		cluster.handOver(node, drain)
	}
	return cluster.callStore(node, outbox) || busy
}

func (cluster *cluster) handOver(node *Controller, drain Drain) {
	peer, err := cluster.peer(node, drain.To())
	if err != nil {
		return
	}
	// The new owner may not have received the layout yet.
	record, _ := node.directory.record(drain.Group())
	peer.OnNotice(cluster.now, lagoonlanding.NewRecordNotice(record))
	reply := peer.OnHandover(lagoonlanding.NewHandoverRequest(lagoonlanding.HandoverConfig{
		Group: drain.Group(), Version: drain.Version(), Shard: drain.Shard(), From: node.id(), To: drain.To().ID(), Since: drain.Since(),
	}))
	if reply.Status() == lagoonlanding.HandoverAccepted {
		node.HandedOver(cluster.now, drain)
	}
}

func (cluster *cluster) callStore(node *Controller, outbox Outbox) bool {
	ctx, now := cluster.t.Context(), cluster.now
	if cluster.uninformed[node.id().Name()] {
		cluster.failStore(node, outbox)
		return false
	}
	for _, swap := range outbox.Swaps() {
		revision, err := cluster.store.CompareAndSwap(ctx, swap.Key(), swap.Expected(), swap.Value())
		node.Swapped(now, swap, revision, err)
	}
	for _, key := range outbox.Reads() {
		entry, err := cluster.store.Get(ctx, key)
		node.ReadBack(now, key, entry, err)
	}
	if outbox.WantsWatch() || cluster.pendingWatches[node.id()] {
		cluster.pendingWatches[node.id()] = false
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		listing, err := cluster.store.Watch(cancelled, lagoonlanding.StorePrefix, node.Revision())
		if errors.Is(err, context.Canceled) {
			// There are no newer entries; the watch stays pending until the next delivery.
			cluster.pendingWatches[node.id()] = true
			return false
		}
		node.Watched(now, listing, err)
		return err == nil
	}
	return len(outbox.Swaps()) > 0 || len(outbox.Reads()) > 0
}

// failStore fails all requested calls to the store.
func (cluster *cluster) failStore(node *Controller, outbox Outbox) {
	for _, swap := range outbox.Swaps() {
		node.Swapped(cluster.now, swap, 0, errCut)
	}
	for _, key := range outbox.Reads() {
		node.ReadBack(cluster.now, key, lagoonlanding.Entry{}, errCut)
	}
	if outbox.WantsWatch() || cluster.pendingWatches[node.id()] {
		cluster.pendingWatches[node.id()] = false
		node.Watched(cluster.now, lagoonlanding.Listing{}, errCut)
	}
}

// checkOwners fails the test if two instances may serve the same shard.
func (cluster *cluster) checkOwners() {
	for shard, owners := range cluster.allOwners() {
		if len(owners) > 1 {
			cluster.t.Fatalf("%v serve shard %d", owners, shard)
		}
	}
}

// allOwners returns the names of the instances that may serve each shard.
func (cluster *cluster) allOwners() [testShards][]string {
	var owners [testShards][]string
	for _, name := range cluster.order {
		group := cluster.nodes[name].groups[testGroup]
		if cluster.dead[name] || group == nil || group.holder == nil || !cluster.now.Before(group.holder.Deadline()) {
			continue
		}
		for shard, token := range group.holder.Tokens() {
			if token > 0 {
				owners[shard] = append(owners[shard], name)
			}
		}
	}
	return owners
}

func (cluster *cluster) owners(shard int) []string { return cluster.allOwners()[shard] }

func (cluster *cluster) served() int {
	served := 0
	for _, owners := range cluster.allOwners() {
		served += len(owners)
	}
	return served
}

func (cluster *cluster) snapshot(name string) *router.Snapshot { return cluster.nodes[name].Snapshot() }
