package controller

import (
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// TestRenewalForEarlierIncarnationIsNotGranted guards against a member with a lease that has already been cleared: the new incarnation at the
// address of a failed witness granted a renewal meant for that witness, and the member counted it as the failed witness's promise.
func TestRenewalForEarlierIncarnationIsNotGranted(t *testing.T) {
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
			requested lagoonlanding.InstanceID
			want      lagoonlanding.RenewStatus
		}{
			{requested: witness.ID(), want: lagoonlanding.RenewGranted},
			{requested: lagoonlanding.NewInstanceID(witness.ID().Name(), witness.ID().Incarnation()+1), want: lagoonlanding.RenewNotWitness},
		} {
			config.Witness = test.requested
			if got := node.OnRenew(cluster.now, lagoonlanding.NewRenewRequest(config)).Status(); got != test.want {
				t.Errorf("%v requested as %v replies %d, want %d", witness.ID(), test.requested, got, test.want)
			}
		}
	}
}

// TestRestartedWitnessWaitsForEarlierPromises checks that a restarted witness does not clear members that still hold an earlier promise.
func TestRestartedWitnessWaitsForEarlierPromises(t *testing.T) {
	cluster := newCluster(t, 1)
	node := cluster.nodes[cluster.order[0]]
	earlier := lagoonlanding.NewInstanceID(node.id().Name(), node.id().Incarnation()+1)
	request := lagoonlanding.NewClearanceRequest(testGroup, 1, earlier)
	expiry := lagoonlanding.PriorPromisesExpiry(node.config.Now)
	if got := node.OnClear(expiry.Add(-1), request).Status(); got != lagoonlanding.ClearancePending {
		t.Errorf("status %d before the promises have expired", got)
	}
	if got := node.OnClear(expiry, request).Status(); got != lagoonlanding.ClearanceExpired {
		t.Errorf("status %d after the promises have expired", got)
	}
}
