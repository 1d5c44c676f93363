package player

import (
	"fmt"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// TestGroupHealsAfterForeignWitnessesRestart restarts all witnesses of a group at once that are no members of it.
func TestGroupHealsAfterForeignWitnessesRestart(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			fleet := New(Config{Seed: seed})
			fleet.advance(warmTerm)
			id := lagoonlanding.NewGroupID(pooledService, fleet.shape.regions[0])
			members := fleet.eligible(id)
			for _, process := range members {
				process.kill()
				fleet.advance(3 * time.Second)
			}
			for _, process := range members {
				fleet.start(process.slot)
			}
			fleet.advance(HealTerm)
			member := fleet.processes[members[0].slot.number]
			fleet.replaceAll(fleet.witnesses(member, id))
			fleet.advance(HealTerm)
			fleet.probe()
			fleet.advance(probeTerm + longestWait)
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
