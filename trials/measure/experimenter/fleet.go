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
	"lagoonlanding.example/measure/sequencer"
)

// The limits of a service and the network of the deployment Karotsaki.
const (
	slots       = 6
	connections = 110
	queue       = 60
	// meanRunTime is the mean run time of a request on a warm backend server.
	meanRunTime = 4 * time.Millisecond
	// zoneDelay and regionDelay are the one-way network delays between zones and between regions.
	zoneDelay   = 1500 * time.Microsecond
	regionDelay = 8 * time.Millisecond
	// responseSize is the size of each response in bytes.
	responseSize = 1000
	// capacity is the number of requests per second that a warm backend server sustains.
	capacity = slots * float64(time.Second) / float64(meanRunTime)
)

// variant is a configuration of the request path that an experiment compares with others.
type variant struct {
	name   string
	picker func(self lagoonlanding.Instance, random *rand.Rand) lagoonlanding.Picker
	// warm disables the slow start of the limiter.
	warm   bool
	hedged bool
}

func robin(lagoonlanding.Instance, *rand.Rand) lagoonlanding.Picker { return picker.NewRoundRobin() }

func optimalSplit(lagoonlanding.Instance, *rand.Rand) lagoonlanding.Picker {
	return picker.NewSplit(picker.SplitConfig{Slots: slots})
}

// leastTime returns a constructor of pickers that compare the given number of candidates at the same distance, zero for all.
func leastTime(choices int) func(lagoonlanding.Instance, *rand.Rand) lagoonlanding.Picker {
	return func(self lagoonlanding.Instance, random *rand.Rand) lagoonlanding.Picker {
		return picker.NewLeastTime(picker.LeastTimeConfig{Self: self, Slots: slots, Choices: choices, Random: random})
	}
}

// fleet is a service that is not sharded, with a daemon for each of its backend servers.
type fleet struct {
	simulation  *sequencer.Simulation
	variant     variant
	instances   []lagoonlanding.Instance
	nodes       []*faker.Node
	pickers     []lagoonlanding.Picker
	hedgers     []*hedger.Hedger
	isCandidate []bool
	inFlight    int
	// linkBytes counts the response bytes between regions.
	linkBytes int
	hedges    int
	// sent counts the requests and hedges that were sent to each instance.
	sent []int
}

// location is the zone and region of an instance.
type location struct{ zone, region string }

func newFleet(simulation *sequencer.Simulation, variant variant, warmUpRequests int, locations []location) *fleet {
	fleet := &fleet{simulation: simulation, variant: variant}
	for index, location := range locations {
		instance := lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{
			ID:               lagoonlanding.NewInstanceID(fmt.Sprint("upstream-", index), 1),
			AvailabilityZone: location.zone, Region: location.region,
		})
		fleet.instances = append(fleet.instances, instance)
		fleet.nodes = append(fleet.nodes, newNode(simulation, variant.warm, warmUpRequests))
		fleet.pickers = append(fleet.pickers, variant.picker(instance, simulation.Random()))
		fleet.hedgers = append(fleet.hedgers, hedger.NewHedger(hedger.Config{}))
		fleet.isCandidate = append(fleet.isCandidate, true)
		fleet.sent = append(fleet.sent, 0)
	}
	return fleet
}

func newNode(simulation *sequencer.Simulation, warm bool, warmUpRequests int) *faker.Node {
	return faker.NewNode(faker.NodeConfig{
		Simulation: simulation,
		Backend:    faker.NewBackend(faker.BackendConfig{Simulation: simulation, Slots: slots, WarmUpRequests: warmUpRequests}),
		Limiter: limiter.NewLimiter(limiter.Config{
			Slots: slots, Connections: connections, Queue: queue, Scheduler: scheduler.NewDefault(slots), Warm: warm,
		}),
	})
}

// send sends an idempotent request from the entry to the instance that its picker chooses, possibly with a hedge; done receives
// whether it was answered before the deadline.
func (fleet *fleet) send(entry int, deadline time.Duration, done func(isAnswered bool, latency time.Duration)) {
	started := fleet.simulation.Now()
	finished := false
	finish := func(isAnswered bool) {
		if finished {
			return
		}
		finished = true
		latency := fleet.simulation.Now().Sub(started)
		if isAnswered {
			fleet.hedgers[entry].Answered(latency)
		}
		done(isAnswered && latency <= deadline, latency)
	}
	first := fleet.copy(entry, started.Add(deadline), -1, finish)
	request := lagoonlanding.NewRequest(lagoonlanding.RequestConfig{Method: "GET", Idempotent: true})
	at, ok := fleet.hedgers[entry].Start(started, request)
	if !fleet.variant.hedged || !ok {
		return
	}
	fleet.simulation.After(at.Sub(started), func() {
		if !finished && fleet.hedgers[entry].Hedge(fleet.inFlight/len(fleet.nodes), slots) {
			fleet.hedges++
			fleet.copy(entry, started.Add(deadline), first, finish)
		}
	})
}

// copy sends the request, or its hedge, to an instance other than the given one, and returns the index of the chosen
// instance, or the given one if the picker refuses.
func (fleet *fleet) copy(entry int, deadline time.Time, other int, finish func(bool)) int {
	var candidates []lagoonlanding.Instance
	for index, instance := range fleet.instances {
		if fleet.isCandidate[index] && index != other {
			candidates = append(candidates, instance)
		}
	}
	started := fleet.simulation.Now()
	picked, reason := fleet.pickers[entry].Pick(started, candidates, 0)
	if reason != lagoonlanding.ReasonNone {
		finish(false)
		return other
	}
	target := fleet.indexOf(picked)
	delay := fleet.delay(entry, target)
	fleet.inFlight++
	fleet.sent[target]++
	fleet.simulation.After(delay, func() {
		fleet.nodes[target].Submit(faker.JobConfig{
			QueuedRequest: lagoonlanding.NewQueuedRequest(lagoonlanding.QueuedRequestConfig{Tenant: "tags", Class: "status", Deadline: deadline}),
			RunTime:       randomRunTime(fleet.simulation.Random(), meanRunTime),
			Done: func(reason lagoonlanding.Reason, result limiter.Result) {
				fleet.simulation.After(delay, func() {
					fleet.inFlight--
					isAnswered := reason == lagoonlanding.ReasonNone && result == limiter.Served
					isSuccess := isAnswered || reason == lagoonlanding.ReasonDeadline
					now := fleet.simulation.Now()
					fleet.pickers[entry].Done(now, picked.ID(), lagoonlanding.NewObservation(now.Sub(started), responseSize, isSuccess))
					finish(isAnswered)
				})
			},
		})
	})
	return target
}

func (fleet *fleet) indexOf(instance lagoonlanding.Instance) int {
	for index, other := range fleet.instances {
		if other.ID() == instance.ID() {
			return index
		}
	}
	panic("experimenter: the picker chose an unknown instance")
}

// delay returns the one-way network delay between two instances and counts the bytes between regions.
func (fleet *fleet) delay(from, to int) time.Duration {
	a, b := fleet.instances[from], fleet.instances[to]
	switch {
	case a.Region() != b.Region():
		fleet.linkBytes += responseSize
		return regionDelay
	case a.AvailabilityZone() != b.AvailabilityZone():
		return zoneDelay
	}
	return 0
}

// randomRunTime returns a random run time with the given mean, of which one half is fixed and the other exponentially distributed.
func randomRunTime(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (1 + random.ExpFloat64()) / 2)
}

// warmUp sends requests until the limiters have raised their limits for the warm backend servers, and then starts the experiment.
func warmUp(simulation *sequencer.Simulation, nodes ...*faker.Node) {
	const rounds, requests = 5, 50
	for range rounds {
		for _, node := range nodes {
			for range requests {
				node.Submit(faker.JobConfig{
					QueuedRequest: lagoonlanding.NewQueuedRequest(lagoonlanding.QueuedRequestConfig{Tenant: "warm-up", Class: "status"}),
					RunTime:       randomRunTime(simulation.Random(), meanRunTime),
					Done:          func(lagoonlanding.Reason, limiter.Result) {},
				})
			}
		}
		simulation.StartExperiment()
	}
}
