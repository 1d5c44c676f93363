package controller

import (
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// maxOutage is the guaranteed maximum time until all shards are served again after an instance fails.
const maxOutage = 2 * time.Second

func newFormedCluster(t *testing.T) *cluster {
	cluster := newCluster(t, 4)
	cluster.run(10 * time.Second)
	if served := cluster.served(); served != testShards {
		t.Fatalf("%d of %d shards are served after the start", served, testShards)
	}
	group, _ := cluster.snapshot("daemon-0").Group(testGroup)
	if witnesses := group.Record().Current().Witnesses(); len(witnesses) != 3 {
		t.Fatalf("%d witnesses after the start", len(witnesses))
	}
	return cluster
}

func TestSteadyStateWritesNothing(t *testing.T) {
	cluster := newFormedCluster(t)
	before := cluster.store.Writes()
	cluster.run(time.Minute)
	if writes := cluster.store.Writes() - before; writes != 0 {
		t.Errorf("%d writes in a minute without changes", writes)
	}
}

func TestShardsAreServedAgainAfterInstanceFailure(t *testing.T) {
	for _, lost := range []string{"daemon-0", "daemon-1", "daemon-2", "daemon-3"} {
		t.Run(lost, func(t *testing.T) {
			cluster := newFormedCluster(t)
			cluster.dead[lost] = true
			cluster.run(maxOutage)
			if served := cluster.served(); served != testShards {
				t.Errorf("%d of %d shards are served %v after the failure", served, testShards, maxOutage)
			}
		})
	}
}

func TestOwnersKeepServingWhileStoreIsDown(t *testing.T) {
	cluster := newFormedCluster(t)
	cluster.store.SetDown(true)
	cluster.run(time.Minute)
	if served := cluster.served(); served != testShards {
		t.Fatalf("%d of %d shards are served while the store is down", served, testShards)
	}
	cluster.dead["daemon-1"] = true
	cluster.run(5 * time.Second)
	lost := testShards - cluster.served()
	if lost == 0 || lost > testShards/4 {
		t.Errorf("%d shards are not served after a failure while the store is down", lost)
	}
	cluster.store.SetDown(false)
	cluster.run(maxOutage)
	if served := cluster.served(); served != testShards {
		t.Errorf("%d of %d shards are served after the store has recovered", served, testShards)
	}
}

func TestLeaveHandsOverWithoutInterruption(t *testing.T) {
	cluster := newFormedCluster(t)
	cluster.nodes["daemon-0"].Leave(cluster.now)
	for range 50 {
		cluster.run(TickInterval)
		if served := cluster.served(); served != testShards {
			t.Fatalf("%d of %d shards are served during a planned leave", served, testShards)
		}
	}
	if !cluster.nodes["daemon-0"].HasLeft() {
		t.Error("the instance has not left after 5 s")
	}
}

func TestZoneOutOfServiceAndBack(t *testing.T) {
	cluster := newFormedCluster(t)
	setZones := func(version, zone byte) {
		entry, err := cluster.store.Get(t.Context(), lagoonlanding.SetKey)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := cluster.store.CompareAndSwap(t.Context(), lagoonlanding.SetKey, entry.Revision(), []byte{version, zone}); err != nil {
			t.Fatal(err)
		}
	}
	owned := func() int {
		count := 0
		for shard := range testShards {
			if owners := cluster.owners(shard); len(owners) == 1 && owners[0] == "daemon-2" {
				count++
			}
		}
		return count
	}
	setZones(2, 2)
	cluster.run(3 * time.Second)
	if owned() != 0 || cluster.served() != testShards {
		t.Errorf("zone out of service: it still owns %d shards, %d are served in all", owned(), cluster.served())
	}
	setZones(3, 9)
	cluster.run(3 * time.Second)
	if owned() != testShards/4 || cluster.served() != testShards {
		t.Errorf("zone back in service: it owns %d shards, %d are served in all", owned(), cluster.served())
	}
}

func TestGroupRecoversAfterAllInstancesRestart(t *testing.T) {
	cluster := newFormedCluster(t)
	for i, name := range cluster.order {
		cluster.start(name, i)
	}
	cluster.run(15 * time.Second)
	if served := cluster.served(); served != testShards {
		t.Errorf("%d of %d shards are served after all instances restarted", served, testShards)
	}
}

func TestLostStoreResponsesAreReadBack(t *testing.T) {
	cluster := newFormedCluster(t)
	cluster.store.LoseResponses(2)
	cluster.dead["daemon-3"] = true
	cluster.run(maxOutage)
	if served := cluster.served(); served != testShards {
		t.Errorf("%d of %d shards are served after a lost store response", served, testShards)
	}
}

func TestStoreFailureIsClearedWithoutNeedForStore(t *testing.T) {
	cluster := newFormedCluster(t)
	member := cluster.nodes["daemon-3"]
	member.Watched(cluster.now, lagoonlanding.Listing{}, lagoonlanding.ErrUnavailable)
	cluster.run(TickInterval)
	if member.IsDisconnected() {
		t.Error("a member that receives updates from its witnesses still reports the store as unreachable")
	}
}

func TestMemberThatCannotReachOnlyCoordinatorStays(t *testing.T) {
	cluster := newFormedCluster(t)
	before, _ := cluster.snapshot("daemon-1").Group(testGroup)
	coordinator := before.Record().Current().Witnesses()[0].ID().Name()
	cluster.cut[[2]string{"daemon-3", coordinator}] = true
	cluster.run(10 * time.Second)
	after, _ := cluster.snapshot("daemon-1").Group(testGroup)
	if before.Record().Version() != after.Record().Version() || cluster.served() != testShards {
		t.Errorf("layout %d was replaced by %d, %d shards are served", before.Record().Version(), after.Record().Version(), cluster.served())
	}
}
