package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

type arrivingRequest struct {
	id       uint64
	tenant   string
	class    string
	cost     int
	weight   int
	deadline time.Duration
}

func (arrivingrequest arrivingRequest) queued() lagoonlanding.QueuedRequest {
	config := lagoonlanding.QueuedRequestConfig{Tenant: arrivingrequest.tenant, Class: arrivingrequest.class, Cost: arrivingrequest.cost, Weight: arrivingrequest.weight}
	if arrivingrequest.deadline > 0 {
		config.Deadline = start.Add(arrivingrequest.deadline)
	}
	return lagoonlanding.NewQueuedRequest(config).WithID(arrivingrequest.id, start)
}

func classesWithMeans(slowSlots int) *Classes {
	classes := NewClasses(slowSlots)
	for class, mean := range map[string]time.Duration{"tag": 2 * time.Millisecond, "licence": 40 * time.Millisecond} {
		classes.start(class)
		classes.finish(class, mean)
	}
	return classes
}

func drain(scheduler lagoonlanding.Scheduler, took time.Duration) []uint64 {
	var ids []uint64
	for {
		queuedrequest, ok := scheduler.Next(start)
		if !ok {
			return ids
		}
		ids = append(ids, queuedrequest.ID())
		if took > 0 {
			scheduler.Finish(queuedrequest, took)
		}
	}
}

func TestSchedulingOrder(t *testing.T) {
	arrivals := []arrivingRequest{
		{id: 1, tenant: "a", class: "licence", cost: 1, deadline: 90 * time.Millisecond},
		{id: 2, tenant: "a", class: "licence", cost: 1},
		{id: 3, tenant: "a", class: "tag", cost: 1, deadline: 80 * time.Millisecond},
		{id: 4, tenant: "b", class: "licence", cost: 30, deadline: 70 * time.Millisecond},
		{id: 5, tenant: "b", class: "tag", cost: 1, deadline: 60 * time.Millisecond},
	}
	cases := []struct {
		name      string
		scheduler lagoonlanding.Scheduler
		want      []uint64
	}{
		{"arrival", NewFIFO(), []uint64{1, 2, 3, 4, 5}},
		{"deadline", NewDeadline(), []uint64{5, 4, 3, 1, 2}},
		{"fair", NewFair(FairConfig{Classes: classesWithMeans(0), Inner: func() lagoonlanding.Scheduler { return NewFIFO() }}), []uint64{1, 4, 2, 5, 3}},
		{"slots reserved from slow classes", NewPriority(classesWithMeans(1)), []uint64{3, 5, 1}},
	}
	for _, test := range cases {
		for _, arrival := range arrivals {
			test.scheduler.Add(arrival.queued())
		}
		test.scheduler.Add(arrivingRequest{id: 9, tenant: "c", class: "tag"}.queued())
		test.scheduler.Remove(arrivingRequest{id: 9, tenant: "c", class: "tag"}.queued())
		if diff := cmp.Diff(test.want, drain(test.scheduler, 0)); diff != "" {
			t.Errorf("%s: %s", test.name, diff)
		}
	}
}

func TestPriorityIsCostOverMeanAndAges(t *testing.T) {
	scheduler := NewPriority(classesWithMeans(0))
	scheduler.Add(arrivingRequest{id: 1, class: "licence", cost: 1}.queued())
	scheduler.Add(arrivingRequest{id: 2, class: "tag", cost: 1}.queued())
	scheduler.Add(arrivingRequest{id: 3, class: "licence", cost: 1}.queued())
	if first, _ := scheduler.Next(start); first.ID() != 2 {
		t.Fatalf("request %d was served before the class with the highest ratio", first.ID())
	}
	// A class with a 20 times lower ratio reaches the priority of new requests of the other class after 20 aging periods.
	late := start.Add(20 * agingPeriod)
	scheduler.Add(lagoonlanding.NewQueuedRequest(lagoonlanding.QueuedRequestConfig{Class: "tag", Cost: 1}).WithID(4, late))
	if next, _ := scheduler.Next(late); next.ID() != 1 {
		t.Fatalf("request %d was served before one that had waited %v", next.ID(), late.Sub(start))
	}
}

func TestFairSharesServiceTimeByWeight(t *testing.T) {
	scheduler := NewFair(FairConfig{Classes: NewClasses(0), Inner: func() lagoonlanding.Scheduler { return NewFIFO() }})
	tenants := []arrivingRequest{{tenant: "slow", weight: 1}, {tenant: "quick", weight: 1}, {tenant: "heavy", weight: 2}}
	took := map[string]time.Duration{"slow": 20 * time.Millisecond, "quick": 2 * time.Millisecond, "heavy": 5 * time.Millisecond}
	served := map[string]time.Duration{}
	id := uint64(0)
	for _, tenant := range tenants {
		for range 2000 {
			id++
			tenant.id = id
			scheduler.Add(tenant.queued())
		}
	}
	for range 2000 {
		queuedrequest, _ := scheduler.Next(start)
		scheduler.Finish(queuedrequest, took[queuedrequest.Tenant()])
		served[queuedrequest.Tenant()] += took[queuedrequest.Tenant()]
	}
	for _, tenant := range []string{"quick", "heavy"} {
		ratio := float64(served[tenant]) / float64(served["slow"])
		want := float64(map[string]int{"quick": 1, "heavy": 2}[tenant])
		if ratio < 0.9*want || ratio > 1.1*want {
			t.Errorf("%s got %.2f times the service time of slow, want %.0f", tenant, ratio, want)
		}
	}
}

// TestRandomOperationsLoseNoRequest adds, starts, finishes and removes requests at random, and checks that each request is
// returned exactly once and that none remains queued.
func TestRandomOperationsLoseNoRequest(t *testing.T) {
	schedulers := map[string]func() lagoonlanding.Scheduler{
		"arrival":  func() lagoonlanding.Scheduler { return NewFIFO() },
		"deadline": func() lagoonlanding.Scheduler { return NewDeadline() },
		"priority": func() lagoonlanding.Scheduler { return NewPriority(NewClasses(2)) },
		"default":  func() lagoonlanding.Scheduler { return NewDefault(6) },
	}
	for name, newScheduler := range schedulers {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 2))
			scheduler, queued, running := newScheduler(), map[uint64]lagoonlanding.QueuedRequest{}, map[uint64]lagoonlanding.QueuedRequest{}
			for id := range uint64(1000) {
				class := fmt.Sprint("class-", random.IntN(3))
				added := arrivingRequest{id: id + 1, tenant: fmt.Sprint(random.IntN(4)), class: class, deadline: time.Duration(random.IntN(3)) * time.Second}.queued()
				scheduler.Add(added)
				queued[added.ID()] = added
				if random.IntN(2) == 0 {
					if next, ok := scheduler.Next(start); ok {
						take(t, name, queued, running, next)
					}
				}
				for _, one := range running {
					if random.IntN(2) == 0 {
						scheduler.Finish(one, time.Duration(1+random.IntN(50)*random.IntN(3))*time.Millisecond)
						delete(running, one.ID())
					}
				}
				for _, one := range queued {
					if random.IntN(50) == 0 {
						scheduler.Remove(one)
						delete(queued, one.ID())
					}
				}
			}
			for len(queued) > 0 {
				for id, one := range running {
					scheduler.Finish(one, time.Millisecond)
					delete(running, id)
				}
				next, ok := scheduler.Next(start)
				if !ok {
					t.Fatalf("%s, seed %d: %d requests starve", name, seed, len(queued))
				}
				take(t, name, queued, running, next)
			}
		}
	}
}

func take(t *testing.T, name string, queued, running map[uint64]lagoonlanding.QueuedRequest, next lagoonlanding.QueuedRequest) {
	t.Helper()
	if _, ok := queued[next.ID()]; !ok {
		t.Fatalf("%s: request %d was returned twice or after its removal", name, next.ID())
	}
	delete(queued, next.ID())
	running[next.ID()] = next
}
