package controller

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/ownership/placer"
)

func newSetController(name string) *Controller {
	return New(Config{
		Self: lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{ID: lagoonlanding.NewInstanceID(name, 1)}),
		Now:  time.Unix(1, 0), Placer: placer.NewRendezvous(), Records: encoder.Records{}, Sets: encoder.Sets{}, Differences: encoder.Sets{},
	})
}

// bigSet returns a set with enough objects that a difference is shorter than the complete set.
func bigSet(t *testing.T, version uint64) lagoonlanding.Entry {
	t.Helper()
	config := publisher.SetConfig{Version: version}
	for i := range 400 {
		config.Tenants = append(config.Tenants, publisher.NewTenant(publisher.TenantConfig{Name: fmt.Sprint("tenant-", i*i*7919), Weight: 1}))
	}
	config.Classes = append(config.Classes, publisher.NewClass(publisher.ClassConfig{Name: "lookup", Cost: int(version)}))
	value, err := encoder.Sets{}.Encode(publisher.NewSet(config))
	if err != nil {
		t.Fatal(err)
	}
	return lagoonlanding.NewEntry(lagoonlanding.SetKey, value, version*10)
}

func classCost(controller *Controller) int {
	if controller.directory.set == nil {
		return 0
	}
	class, _ := controller.directory.set.Class("lookup")
	return class.Cost()
}

func keysOf(listing lagoonlanding.Listing) []string {
	var keys []string
	for _, entry := range listing.Entries() {
		keys = append(keys, entry.Key())
	}
	return keys
}

// TestSetsAreFetchedAsDifferences checks that instances that fetch at random times always reach the set of the queried instance.
func TestSetsAreFetchedAsDifferences(t *testing.T) {
	random := rand.New(rand.NewSource(3))
	now := time.Unix(1, 0)
	source := newSetController("teller")
	followers := []*Controller{newSetController("a"), newSetController("b"), newSetController("c")}
	differences, completeSets := 0, 0
	for version := uint64(1); version <= 30; version++ {
		entry := bigSet(t, version)
		source.Watched(now, lagoonlanding.NewListing([]lagoonlanding.Entry{entry}, entry.Revision()), nil)
		for i, follower := range followers {
			// The last follower fetches so rarely that it misses more differences than are stored.
			if random.Intn(1+i*i*5) != 0 {
				continue
			}
			reply := source.OnDirectory(lagoonlanding.NewDirectoryRequest(follower.Revision()))
			for _, key := range keysOf(reply.Listing()) {
				if key == lagoonlanding.SetKey {
					completeSets++
				} else {
					differences++
				}
			}
			follower.Fetched(now, reply, nil)
			if classCost(follower) != int(version) || follower.Revision() != version*10 {
				t.Fatalf("follower %d has cost %d and revision %d after version %d", i, classCost(follower), follower.Revision(), version)
			}
		}
	}
	if differences < 40 || completeSets < 3 || completeSets > 6 {
		t.Errorf("%d differences, %d complete sets", differences, completeSets)
	}
}

// TestInapplicableDifferenceIsFollowedByCompleteSet checks an instance whose set is not the base of the difference it receives.
func TestInapplicableDifferenceIsFollowedByCompleteSet(t *testing.T) {
	now := time.Unix(1, 0)
	source, follower := newSetController("teller"), newSetController("learner")
	for version := uint64(1); version <= 2; version++ {
		entry := bigSet(t, version)
		source.Watched(now, lagoonlanding.NewListing([]lagoonlanding.Entry{entry}, entry.Revision()), nil)
	}
	reply := source.OnDirectory(lagoonlanding.NewDirectoryRequest(10))
	follower.Fetched(now, reply, nil)
	if follower.Revision() != 0 || !follower.fetchAll || classCost(follower) != 0 {
		t.Fatalf("revision %d, fetch all %v", follower.Revision(), follower.fetchAll)
	}
	follower.Fetched(now, source.OnDirectory(lagoonlanding.NewDirectoryRequest(0)), nil)
	if follower.Revision() != 20 || follower.fetchAll || classCost(follower) != 2 {
		t.Errorf("revision %d, fetch all %v, cost %d", follower.Revision(), follower.fetchAll, classCost(follower))
	}
}
