package experimenter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/hedger"
	"lagoonlanding.example/lagoonlanding/requests/limiter"
	"lagoonlanding.example/lagoonlanding/requests/picker"
	"lagoonlanding.example/lagoonlanding/requests/scheduler"
	"lagoonlanding.example/measure/faker"
	"lagoonlanding.example/measure/player"
)

// The sizes of Karotsaki's services and places.
const (
	slots       = 6
	connections = 110
	queue       = 60
	// meanTime is the mean time of a request at a warm backend server.
	meanTime = 4 * time.Millisecond
	// zoneDelay and regionDelay are the one-way times between zones and regions.
	zoneDelay   = 1500 * time.Microsecond
	regionDelay = 8 * time.Millisecond
	// answerSize is the size of each answer in bytes.
	answerSize = 1000
	// capacity is the requests a second that a warm backend server bears.
	capacity = slots * float64(time.Second) / float64(meanTime)
)

// way is one way of serving that an experiment compares.
type way struct {
	name   string
	picker func(self lagoonlanding.Instance, random *rand.Rand) lagoonlanding.Picker
	warm   bool
	hedged bool
}

func robin(lagoonlanding.Instance, *rand.Rand) lagoonlanding.Picker { return picker.NewRoundRobin() }

func split(lagoonlanding.Instance, *rand.Rand) lagoonlanding.Picker {
	return picker.NewSplit(picker.SplitConfig{Slots: slots})
}

// least returns a way to build the picker that compares so many candidates of one distance, zero for all.
func least(choices int) func(lagoonlanding.Instance, *rand.Rand) lagoonlanding.Picker {
	return func(self lagoonlanding.Instance, random *rand.Rand) lagoonlanding.Picker {
		return picker.NewLeast(picker.LeastConfig{Self: self, Slots: slots, Choices: choices, Random: random})
	}
}

// fleet is a service that is not divided by key, with a daemon beside each of its backend servers.
type fleet struct {
	simulation *player.Simulation
	way        way
	instances  []lagoonlanding.Instance
	nodes      []*faker.Node
	pickers    []lagoonlanding.Picker
	hedgers    []*hedger.Hedger
	listed     []bool
	inFlight   int
	linkBytes  int
	hedges     int
	sent       []int
}

type place struct{ zone, region string }

func newFleet(simulation *player.Simulation, way way, warmth int, places []place) *fleet {
	fleet := &fleet{simulation: simulation, way: way}
	for index, place := range places {
		instance := lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{
			ID:               lagoonlanding.NewInstanceID(fmt.Sprint("upstream-", index), 1),
			AvailabilityZone: place.zone, Region: place.region,
		})
		fleet.instances = append(fleet.instances, instance)
		fleet.nodes = append(fleet.nodes, newNode(simulation, way.warm, warmth))
		fleet.pickers = append(fleet.pickers, way.picker(instance, simulation.Random()))
		fleet.hedgers = append(fleet.hedgers, hedger.NewHedger(hedger.Config{}))
		fleet.listed = append(fleet.listed, true)
		fleet.sent = append(fleet.sent, 0)
	}
	return fleet
}

func newNode(simulation *player.Simulation, warm bool, warmth int) *faker.Node {
	return faker.NewNode(faker.NodeConfig{
		Simulation: simulation,
		Backend:    faker.NewBackend(faker.BackendConfig{Simulation: simulation, Slots: slots, SlotCompletions: warmth}),
		Limiter: limiter.NewServer(limiter.Config{
			Slots: slots, Connections: connections, Queue: queue, Order: scheduler.NewOrder(slots), Warm: warm,
		}),
	})
}

// send takes a read from the entry to the instance that its picker chooses, and tells how it ended.
func (fleet *fleet) send(entry int, deadline time.Duration, done func(isAnswered bool, took time.Duration)) {
	started := fleet.simulation.Now()
	finished := false
	finish := func(isAnswered bool) {
		if finished {
			return
		}
		finished = true
		took := fleet.simulation.Now().Sub(started)
		if isAnswered {
			fleet.hedgers[entry].Answered(took)
		}
		done(isAnswered && took <= deadline, took)
	}
	first := fleet.copy(entry, started.Add(deadline), -1, finish)
	request := lagoonlanding.NewRequest(lagoonlanding.RequestConfig{Method: "GET", Idempotent: true})
	at, ok := fleet.hedgers[entry].Start(started, request)
	if !fleet.way.hedged || !ok {
		return
	}
	fleet.simulation.After(at.Sub(started), func() {
		if !finished && fleet.hedgers[entry].Hedge(fleet.inFlight/len(fleet.nodes), slots) {
			fleet.hedges++
			fleet.copy(entry, started.Add(deadline), first, finish)
		}
	})
}

// copy sends one copy of a request to an instance other than the one named, and returns which.
func (fleet *fleet) copy(entry int, deadline time.Time, other int, finish func(bool)) int {
	var candidates []lagoonlanding.Instance
	for index, instance := range fleet.instances {
		if fleet.listed[index] && index != other {
			candidates = append(candidates, instance)
		}
	}
	started := fleet.simulation.Now()
	picked, reason := fleet.pickers[entry].Pick(started, candidates, 0)
	if reason != lagoonlanding.ReasonNone {
		finish(false)
		return other
	}
	target := fleet.index(picked)
	delay := fleet.delay(entry, target)
	fleet.inFlight++
	fleet.sent[target]++
	fleet.simulation.After(delay, func() {
		fleet.nodes[target].Submit(faker.JobConfig{
			QueuedRequest: lagoonlanding.NewQueuedRequest(lagoonlanding.QueuedRequestConfig{Tenant: "tags", Class: "status", Deadline: deadline}),
			RunTime:       draw(fleet.simulation.Random(), meanTime),
			Done: func(reason lagoonlanding.Reason, result limiter.Result) {
				fleet.simulation.After(delay, func() {
					fleet.inFlight--
					isAnswered := reason == lagoonlanding.ReasonNone && result == limiter.Served
					isFit := isAnswered || reason == lagoonlanding.ReasonDeadline
					now := fleet.simulation.Now()
					fleet.pickers[entry].Done(now, picked.ID(), lagoonlanding.NewObservation(now.Sub(started), answerSize, isFit))
					finish(isAnswered)
				})
			},
		})
	})
	return target
}

func (fleet *fleet) index(instance lagoonlanding.Instance) int {
	for index, other := range fleet.instances {
		if other.ID() == instance.ID() {
			return index
		}
	}
	panic("experimenter: an unknown instance was picked")
}

func (fleet *fleet) delay(from, to int) time.Duration {
	a, b := fleet.instances[from], fleet.instances[to]
	switch {
	case a.Region() != b.Region():
		fleet.linkBytes += answerSize
		return regionDelay
	case a.AvailabilityZone() != b.AvailabilityZone():
		return zoneDelay
	}
	return 0
}

// draw returns a service time around the mean, half of it fixed and half exponential.
func draw(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (1 + random.ExpFloat64()) / 2)
}

// warmUp lets the limiters find the backend servers warm before the experiment begins.
func warmUp(simulation *player.Simulation, nodes ...*faker.Node) {
	const rounds, requests = 5, 50
	for range rounds {
		for _, node := range nodes {
			for range requests {
				node.Submit(faker.JobConfig{
					QueuedRequest: lagoonlanding.NewQueuedRequest(lagoonlanding.QueuedRequestConfig{Tenant: "warm-up", Class: "status"}),
					RunTime:       draw(simulation.Random(), meanTime),
					Done:          func(lagoonlanding.Reason, limiter.Result) {},
				})
			}
		}
		simulation.StartExperiment()
	}
}
