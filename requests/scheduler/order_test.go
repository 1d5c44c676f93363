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

type arrived struct {
	id       uint64
	tenant   string
	class    string
	cost     int
	weight   int
	deadline time.Duration
}

func (arrived arrived) waiting() lagoonlanding.QueuedRequest {
	config := lagoonlanding.QueuedRequestConfig{Tenant: arrived.tenant, Class: arrived.class, Cost: arrived.cost, Weight: arrived.weight}
	if arrived.deadline > 0 {
		config.Deadline = start.Add(arrived.deadline)
	}
	return lagoonlanding.NewQueuedRequest(config).WithID(arrived.id, start)
}

func learned(slowSlots int) *Classes {
	classes := NewClasses(slowSlots)
	for class, mean := range map[string]time.Duration{"tag": 2 * time.Millisecond, "licence": 40 * time.Millisecond} {
		classes.start(class)
		classes.finish(class, mean)
	}
	return classes
}

func drain(order lagoonlanding.Scheduler, took time.Duration) []uint64 {
	var ids []uint64
	for {
		waiting, ok := order.Next(start)
		if !ok {
			return ids
		}
		ids = append(ids, waiting.ID())
		if took > 0 {
			order.Finish(waiting, took)
		}
	}
}

func TestOrders(t *testing.T) {
	arrivals := []arrived{
		{id: 1, tenant: "a", class: "licence", cost: 1, deadline: 90 * time.Millisecond},
		{id: 2, tenant: "a", class: "licence", cost: 1},
		{id: 3, tenant: "a", class: "tag", cost: 1, deadline: 80 * time.Millisecond},
		{id: 4, tenant: "b", class: "licence", cost: 30, deadline: 70 * time.Millisecond},
		{id: 5, tenant: "b", class: "tag", cost: 1, deadline: 60 * time.Millisecond},
	}
	cases := []struct {
		name  string
		order lagoonlanding.Scheduler
		want  []uint64
	}{
		{"arrival", NewArrival(), []uint64{1, 2, 3, 4, 5}},
		{"deadline", NewDeadline(), []uint64{5, 4, 3, 1, 2}},
		{"fair", NewFair(FairConfig{Classes: learned(0), Inner: func() lagoonlanding.Scheduler { return NewArrival() }}), []uint64{1, 4, 2, 5, 3}},
		{"slots kept from slow classes", NewPriority(learned(1)), []uint64{3, 5, 1}},
	}
	for _, test := range cases {
		for _, arrival := range arrivals {
			test.order.Add(arrival.waiting())
		}
		test.order.Add(arrived{id: 9, tenant: "c", class: "tag"}.waiting())
		test.order.Remove(arrived{id: 9, tenant: "c", class: "tag"}.waiting())
		if diff := cmp.Diff(test.want, drain(test.order, 0)); diff != "" {
			t.Errorf("%s: %s", test.name, diff)
		}
	}
}

func TestPriorityFollowsCostOverMeanAndAges(t *testing.T) {
	order := NewPriority(learned(0))
	order.Add(arrived{id: 1, class: "licence", cost: 1}.waiting())
	order.Add(arrived{id: 2, class: "tag", cost: 1}.waiting())
	order.Add(arrived{id: 3, class: "licence", cost: 1}.waiting())
	if first, _ := order.Next(start); first.ID() != 2 {
		t.Fatalf("request %d went before the class with the highest ratio", first.ID())
	}
	// A class of a 20 times lower ratio waits at most 20 times as long: fresh requests of the other class come after it then.
	late := start.Add(20 * agingTerm)
	order.Add(lagoonlanding.NewQueuedRequest(lagoonlanding.QueuedRequestConfig{Class: "tag", Cost: 1}).WithID(4, late))
	if next, _ := order.Next(late); next.ID() != 1 {
		t.Fatalf("request %d went before one that had waited %v", next.ID(), late.Sub(start))
	}
}

func TestFairSharesServiceTimeByWeight(t *testing.T) {
	order := NewFair(FairConfig{Classes: NewClasses(0), Inner: func() lagoonlanding.Scheduler { return NewArrival() }})
	tenants := []arrived{{tenant: "slow", weight: 1}, {tenant: "quick", weight: 1}, {tenant: "heavy", weight: 2}}
	took := map[string]time.Duration{"slow": 20 * time.Millisecond, "quick": 2 * time.Millisecond, "heavy": 5 * time.Millisecond}
	served := map[string]time.Duration{}
	id := uint64(0)
	for _, tenant := range tenants {
		for range 2000 {
			id++
			tenant.id = id
			order.Add(tenant.waiting())
		}
	}
	for range 2000 {
		waiting, _ := order.Next(start)
		order.Finish(waiting, took[waiting.Tenant()])
		served[waiting.Tenant()] += took[waiting.Tenant()]
	}
	for _, tenant := range []string{"quick", "heavy"} {
		ratio := float64(served[tenant]) / float64(served["slow"])
		want := float64(map[string]int{"quick": 1, "heavy": 2}[tenant])
		if ratio < 0.9*want || ratio > 1.1*want {
			t.Errorf("%s got %.2f times the service time of slow, its weight says %.0f", tenant, ratio, want)
		}
	}
}

// TestRandomOrdersLoseNothing adds, takes, finishes and removes at random: each request leaves an order once, and nothing stays behind.
func TestRandomOrdersLoseNothing(t *testing.T) {
	orders := map[string]func() lagoonlanding.Scheduler{
		"arrival":  func() lagoonlanding.Scheduler { return NewArrival() },
		"deadline": func() lagoonlanding.Scheduler { return NewDeadline() },
		"priority": func() lagoonlanding.Scheduler { return NewPriority(NewClasses(2)) },
		"default":  func() lagoonlanding.Scheduler { return NewOrder(6) },
	}
	for name, build := range orders {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 2))
			order, waiting, running := build(), map[uint64]lagoonlanding.QueuedRequest{}, map[uint64]lagoonlanding.QueuedRequest{}
			for id := range uint64(1000) {
				class := fmt.Sprint("class-", random.IntN(3))
				added := arrived{id: id + 1, tenant: fmt.Sprint(random.IntN(4)), class: class, deadline: time.Duration(random.IntN(3)) * time.Second}.waiting()
				order.Add(added)
				waiting[added.ID()] = added
				if random.IntN(2) == 0 {
					if next, ok := order.Next(start); ok {
						take(t, name, waiting, running, next)
					}
				}
				for _, one := range running {
					if random.IntN(2) == 0 {
						order.Finish(one, time.Duration(1+random.IntN(50)*random.IntN(3))*time.Millisecond)
						delete(running, one.ID())
					}
				}
				for _, one := range waiting {
					if random.IntN(50) == 0 {
						order.Remove(one)
						delete(waiting, one.ID())
					}
				}
			}
			for len(waiting) > 0 {
				for id, one := range running {
					order.Finish(one, time.Millisecond)
					delete(running, id)
				}
				next, ok := order.Next(start)
				if !ok {
					t.Fatalf("%s, seed %d: %d requests starve", name, seed, len(waiting))
				}
				take(t, name, waiting, running, next)
			}
		}
	}
}

func take(t *testing.T, name string, waiting, running map[uint64]lagoonlanding.QueuedRequest, next lagoonlanding.QueuedRequest) {
	t.Helper()
	if _, ok := waiting[next.ID()]; !ok {
		t.Fatalf("%s: request %d left twice or after its removal", name, next.ID())
	}
	delete(waiting, next.ID())
	running[next.ID()] = next
}
