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

func newSetLearner(name string) *Controller {
	return New(Config{
		Self: lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{ID: lagoonlanding.NewInstanceID(name, 1)}),
		Now:  time.Unix(1, 0), Placer: placer.NewRendezvous(), Records: encoder.Records{}, Sets: encoder.Sets{}, Differences: encoder.Sets{},
	})
}

// bigSet has enough objects that a difference is shorter than the whole.
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

func costOf(controller *Controller) int {
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

// TestSetsTravelAsDifferences checks that instances that fetch at random times always reach the set of the one they ask.
func TestSetsTravelAsDifferences(t *testing.T) {
	random := rand.New(rand.NewSource(3))
	now := time.Unix(1, 0)
	teller := newSetLearner("teller")
	learners := []*Controller{newSetLearner("a"), newSetLearner("b"), newSetLearner("c")}
	differences, wholes := 0, 0
	for version := uint64(1); version <= 30; version++ {
		entry := bigSet(t, version)
		teller.Watched(now, lagoonlanding.NewListing([]lagoonlanding.Entry{entry}, entry.Revision()), nil)
		for i, learner := range learners {
			// The last learner is so rare that it misses more than are kept.
			if random.Intn(1+i*i*5) != 0 {
				continue
			}
			reply := teller.OnDirectory(lagoonlanding.NewDirectoryRequest(learner.Revision()))
			for _, key := range keysOf(reply.Listing()) {
				if key == lagoonlanding.SetKey {
					wholes++
				} else {
					differences++
				}
			}
			learner.Fetched(now, reply, nil)
			if costOf(learner) != int(version) || learner.Revision() != version*10 {
				t.Fatalf("learner %d is at cost %d and revision %d after version %d", i, costOf(learner), learner.Revision(), version)
			}
		}
	}
	if differences < 40 || wholes < 3 || wholes > 6 {
		t.Errorf("%d differences, %d whole sets", differences, wholes)
	}
}

// TestUselessDifferenceIsFollowedByTheWhole checks an instance whose set is not the base of the difference.
func TestUselessDifferenceIsFollowedByTheWhole(t *testing.T) {
	now := time.Unix(1, 0)
	teller, learner := newSetLearner("teller"), newSetLearner("learner")
	for version := uint64(1); version <= 2; version++ {
		entry := bigSet(t, version)
		teller.Watched(now, lagoonlanding.NewListing([]lagoonlanding.Entry{entry}, entry.Revision()), nil)
	}
	reply := teller.OnDirectory(lagoonlanding.NewDirectoryRequest(10))
	learner.Fetched(now, reply, nil)
	if learner.Revision() != 0 || !learner.fetchAll || costOf(learner) != 0 {
		t.Fatalf("revision %d, fetch all %v", learner.Revision(), learner.fetchAll)
	}
	learner.Fetched(now, teller.OnDirectory(lagoonlanding.NewDirectoryRequest(0)), nil)
	if learner.Revision() != 20 || learner.fetchAll || costOf(learner) != 2 {
		t.Errorf("revision %d, fetch all %v, cost %d", learner.Revision(), learner.fetchAll, costOf(learner))
	}
}
