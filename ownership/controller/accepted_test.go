package controller

import (
	"math/rand"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
	"lagoonlanding.example/lagoonlanding/operations/confirmer"
)

// acceptance runs a cluster whose instances pause, restart and move while sets are published.
type acceptance struct {
	*cluster
	random  *rand.Rand
	version byte
	// accepted is the newest set that was judged to be in force everywhere.
	accepted uint64
	// accepts counts the judgements, overtaken those that were made while a paused instance knew an older set only.
	accepts, overtaken int
}

// TestAcceptedSetsNeverRevert checks that once a set was judged to be in force, no unexpired lease is under an older one.
func TestAcceptedSetsNeverRevert(t *testing.T) {
	accepts, overtaken := 0, 0
	for seed := range int64(5) {
		acceptance := &acceptance{cluster: newCluster(t, 7), random: rand.New(rand.NewSource(seed)), version: 1}
		acceptance.run(10 * time.Second)
		for range 120 {
			acceptance.disturb()
			for range 1 + acceptance.random.Intn(12) {
				acceptance.run(TickInterval)
				acceptance.judge()
				acceptance.check(seed)
			}
		}
		accepts += acceptance.accepts
		overtaken += acceptance.overtaken
	}
	t.Logf("%d sets accepted, %d of them while a paused instance knew an older one only", accepts, overtaken)
	if accepts < 60 || overtaken < 20 {
		t.Error("the run accepted too little to mean anything")
	}
}

func (acceptance *acceptance) disturb() {
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
		// An instance that comes back and learns nothing is the one that may revert.
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

// publish writes the next set, with one zone out or none, so that layouts change with it.
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

// judge asks the witnesses of the newest record as the confirmer does.
func (acceptance *acceptance) judge() {
	entry, err := acceptance.store.Get(acceptance.t.Context(), lagoonlanding.GroupKey(testGroup))
	if err != nil {
		acceptance.t.Fatal(err)
	}
	record, err := encoder.Records{}.Decode(entry)
	if err != nil {
		acceptance.t.Fatal(err)
	}
	answers := make(map[lagoonlanding.InstanceID]confirmer.Answer)
	for _, witness := range record.Current().Witnesses() {
		peer, err := acceptance.find(witness)
		if err == nil && peer.id() != witness.ID() {
			err = errCut
		}
		var status lagoonlanding.GroupStatus
		if err == nil {
			status = peer.OnStatus(acceptance.now, lagoonlanding.NewStatusRequest(testGroup))
		}
		answers[witness.ID()] = confirmer.NewAnswer(status, err)
	}
	version := uint64(acceptance.version)
	if version == acceptance.accepted || len(confirmer.Judge(acceptance.now, version, record, answers)) > 0 {
		return
	}
	acceptance.accepted = version
	acceptance.accepts++
	for name, dead := range acceptance.dead {
		if dead && acceptance.nodes[name].setVersion() < version {
			acceptance.overtaken++
			return
		}
	}
}

// check fails the test if an instance, paused or not, holds an unexpired lease under a set older than the accepted one.
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
