package controller

import (
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// TestRenewalForAnEarlierRunIsNotGranted was found by make soak: a member counted the promise of the run that listens at the
// address of a lost witness for that witness, which others had taken for gone, and so held a lease that was cleared already.
func TestRenewalForAnEarlierRunIsNotGranted(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.run(5 * time.Second)
	record, ok := cluster.nodes[cluster.order[0]].directory.record(testGroup)
	if !ok {
		t.Fatal("the group has no record")
	}
	for _, witness := range record.Current().Witnesses() {
		node := cluster.nodes[witness.ID().Name()]
		config := lagoonlanding.RenewRequestConfig{
			Group: testGroup, Member: record.Current().Members()[0].ID(), Adopted: record.Version(), Released: record.Version(),
			Set: node.setVersion(),
		}
		for _, test := range []struct {
			asked lagoonlanding.InstanceID
			want  lagoonlanding.RenewStatus
		}{
			{asked: witness.ID(), want: lagoonlanding.RenewGranted},
			{asked: lagoonlanding.NewInstanceID(witness.ID().Name(), witness.ID().Incarnation()+1), want: lagoonlanding.RenewNotWitness},
		} {
			config.Witness = test.asked
			if got := node.OnRenew(cluster.now, lagoonlanding.NewRenewRequest(config)).Status(); got != test.want {
				t.Errorf("%v asked as %v answers %d, want %d", witness.ID(), test.asked, got, test.want)
			}
		}
	}
}

// TestRestartedWitnessWaitsForThePromisesOfTheRunBefore keeps a restart from clearing members that still hold a promise.
func TestRestartedWitnessWaitsForThePromisesOfTheRunBefore(t *testing.T) {
	cluster := newCluster(t, 1)
	node := cluster.nodes[cluster.order[0]]
	before := lagoonlanding.NewInstanceID(node.id().Name(), node.id().Incarnation()+1)
	request := lagoonlanding.NewClearanceRequest(testGroup, 1, before)
	gone := lagoonlanding.PriorPromisesExpiry(node.config.Now)
	if got := node.OnClear(gone.Add(-1), request).Status(); got != lagoonlanding.ClearancePending {
		t.Errorf("status %d before the promises have lapsed", got)
	}
	if got := node.OnClear(gone, request).Status(); got != lagoonlanding.ClearanceExpired {
		t.Errorf("status %d after the promises have lapsed", got)
	}
}
