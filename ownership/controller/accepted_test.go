package controller

import (
	"math/rand"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
	"lagoonlanding.example/lagoonlanding/operations/confirmer"
)

// acceptance runs a cluster whose instances pause and restart while sets are published and zones go out of service.
type acceptance struct {
	*cluster
	random  *rand.Rand
	version byte
	// accepted is the newest set that was confirmed to be in force on all instances.
	accepted uint64
	// acceptances counts the confirmed sets, acceptedWhilePaused those confirmed while a paused instance had an older set.
	acceptances, acceptedWhilePaused int
}

// TestAcceptedSetsNeverRevert checks that no instance holds a valid lease under a set older than one confirmed to be in force.
func TestAcceptedSetsNeverRevert(t *testing.T) {
	acceptances, acceptedWhilePaused := 0, 0
	for seed := range int64(5) {
		acceptance := &acceptance{cluster: newCluster(t, 7), random: rand.New(rand.NewSource(seed)), version: 1}
		acceptance.run(10 * time.Second)
		for range 120 {
			acceptance.injectFault()
			for range 1 + acceptance.random.Intn(12) {
				acceptance.run(TickInterval)
				acceptance.confirmSet()
				acceptance.check(seed)
			}
		}
		acceptances += acceptance.acceptances
		acceptedWhilePaused += acceptance.acceptedWhilePaused
	}
	t.Logf("%d sets accepted, %d of them while a paused instance had an older one", acceptances, acceptedWhilePaused)
	if acceptances < 60 || acceptedWhilePaused < 20 {
		t.Error("too few sets were accepted for a meaningful test")
	}
}

func (acceptance *acceptance) injectFault() {
	index := acceptance.random.Intn(len(acceptance.order))
	name := acceptance.order[index]
	paused := 0
	for _, dead := range acceptance.dead {
		if dead {
			paused++
		}
	}
	switch acceptance.random.Intn(8) {
	case 0, 1:
		acceptance.publish()
	case 2:
		acceptance.dead[name] = acceptance.dead[name] || paused < 2
		// An instance that resumes without receiving updates may still use the older set.
		acceptance.uninformed[name] = acceptance.uninformed[name] || acceptance.random.Intn(2) == 0
	case 3, 4:
		for _, other := range acceptance.order {
			acceptance.dead[other] = acceptance.dead[other] && acceptance.random.Intn(2) == 0
		}
	case 5:
		if paused == 0 {
			acceptance.start(name, index)
		}
	case 6:
		acceptance.uninformed[name] = true
	case 7:
		clear(acceptance.uninformed)
	}
}

// publish writes the next set with at most one zone out of service, so that layouts change with it.
func (acceptance *acceptance) publish() {
	entry, err := acceptance.store.Get(acceptance.t.Context(), lagoonlanding.SetKey)
	if err != nil {
		acceptance.t.Fatal(err)
	}
	const noZone = 9
	out := byte(noZone)
	if acceptance.random.Intn(2) == 0 {
		out = byte(acceptance.random.Intn(4))
	}
	acceptance.version++
	if _, err := acceptance.store.CompareAndSwap(acceptance.t.Context(), lagoonlanding.SetKey, entry.Revision(), []byte{acceptance.version, out}); err != nil {
		acceptance.t.Fatal(err)
	}
}

// confirmSet queries the witnesses of the newest record in the same way as the confirmer.
func (acceptance *acceptance) confirmSet() {
	entry, err := acceptance.store.Get(acceptance.t.Context(), lagoonlanding.GroupKey(testGroup))
	if err != nil {
		acceptance.t.Fatal(err)
	}
	record, err := encoder.Records{}.Decode(entry)
	if err != nil {
		acceptance.t.Fatal(err)
	}
	replies := make(map[lagoonlanding.InstanceID]confirmer.Reply)
	for _, witness := range record.Current().Witnesses() {
		peer, err := acceptance.controllerAt(witness)
		if err == nil && peer.id() != witness.ID() {
			err = errCut
		}
		var status lagoonlanding.GroupStatus
		if err == nil {
			status = peer.OnStatus(acceptance.now, lagoonlanding.NewStatusRequest(testGroup))
		}
		replies[witness.ID()] = confirmer.NewReply(status, err)
	}
	version := uint64(acceptance.version)
	if version == acceptance.accepted || len(confirmer.FindLags(acceptance.now, version, record, replies)) > 0 {
		return
	}
	acceptance.accepted = version
	acceptance.acceptances++
	for name, dead := range acceptance.dead {
		if dead && acceptance.nodes[name].setVersion() < version {
			acceptance.acceptedWhilePaused++
			return
		}
	}
}

// check fails the test if an instance, paused or not, holds a valid lease under a set older than the accepted one.
func (acceptance *acceptance) check(seed int64) {
	for name, node := range acceptance.nodes {
		group := node.groups[testGroup]
		if group == nil || group.holder == nil || !acceptance.now.Before(group.holder.Deadline()) {
			continue
		}
		if node.setVersion() < acceptance.accepted {
			acceptance.t.Fatalf("seed %d: %s holds a lease under set %d after %d was accepted", seed, name, node.setVersion(), acceptance.accepted)
		}
	}
}
