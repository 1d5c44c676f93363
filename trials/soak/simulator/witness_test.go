package simulator

import (
	"fmt"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// All witnesses of a group that are not members of it restart at once; the group must recover and serve all shards.
func TestGroupRecoversAfterNonMemberWitnessesRestart(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			fleet := New(Config{Seed: seed})
			fleet.advance(warmUpDuration)
			id := lagoonlanding.NewGroupID(pooledService, fleet.topology.regions[0])
			members := fleet.eligible(id)
			for _, process := range members {
				process.kill()
				fleet.advance(3 * time.Second)
			}
			for _, process := range members {
				fleet.startProcess(process.slot)
			}
			fleet.advance(healDuration)
			member := fleet.processes[members[0].slot.number]
			fleet.replaceAll(fleet.otherWitnesses(member, id))
			fleet.advance(healDuration)
			fleet.probe()
			fleet.advance(probeTimeout + requestTimeout)
			for _, violation := range fleet.checker.Violations() {
				t.Error(violation)
			}
		})
	}
}

// eligible returns the processes whose slots are of the group's service and region.
func (fleet *Fleet) eligible(id lagoonlanding.GroupID) []*Process {
	var eligible []*Process
	for _, process := range fleet.processes {
		if process.slot.service == id.Service() && process.slot.region == id.Partition() {
			eligible = append(eligible, process)
		}
	}
	return eligible
}
