package sequencer

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Simulation is a discrete-event simulation; it is not safe for concurrent use.
type Simulation struct {
	now          time.Time
	origin       time.Time
	events       events
	lastSequence uint64
	random       *rand.Rand
}

// NewSimulation returns a simulation without events whose random numbers depend only on the seed.
func NewSimulation(seed uint64) *Simulation {
	return &Simulation{now: startTime(), origin: startTime(), random: rand.New(rand.NewPCG(seed, 0))}
}

// startTime returns the initial simulated time.
func startTime() time.Time { return time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC) }

// Now returns the simulated time, which is that of the current or most recent event.
func (simulation *Simulation) Now() time.Time { return simulation.now }

// StartExperiment runs all pending events and measures the elapsed time from their end.
func (simulation *Simulation) StartExperiment() {
	simulation.Run()
	simulation.origin = simulation.now
}

// Elapsed returns the simulated time since the experiment started.
func (simulation *Simulation) Elapsed() time.Duration { return simulation.now.Sub(simulation.origin) }

// Random returns the source of the experiment's random numbers.
func (simulation *Simulation) Random() *rand.Rand { return simulation.random }

// After schedules the handler to run after the delay; a negative delay counts as zero.
func (simulation *Simulation) After(delay time.Duration, handle func()) {
	simulation.lastSequence++
	heap.Push(&simulation.events, event{at: simulation.now.Add(max(delay, 0)), sequence: simulation.lastSequence, handle: handle})
}

// Every runs the handler immediately and then at each interval for as long as it returns true.
func (simulation *Simulation) Every(interval time.Duration, handle func() bool) {
	if handle() {
		simulation.After(interval, func() { simulation.Every(interval, handle) })
	}
}

// Arrivals runs the handler for the arrivals of a Poisson process with the given rate per second until the duration has elapsed.
func (simulation *Simulation) Arrivals(perSecond func() float64, until time.Duration, handle func()) {
	delay := time.Duration(simulation.random.ExpFloat64() / perSecond() * float64(time.Second))
	if simulation.Elapsed()+delay > until {
		return
	}
	simulation.After(delay, func() {
		handle()
		simulation.Arrivals(perSecond, until, handle)
	})
}

// Run runs all pending events and those that they schedule.
func (simulation *Simulation) Run() {
	for len(simulation.events) > 0 {
		next := heap.Pop(&simulation.events).(event)
		simulation.now = next.at
		next.handle()
	}
}

// event is a scheduled call; events of the same time run in the order in which they were scheduled.
type event struct {
	at       time.Time
	sequence uint64
	handle   func()
}

type events []event

// Len returns the number of events.
func (events events) Len() int { return len(events) }

// Less reports whether an event comes before another.
func (events events) Less(i, j int) bool {
	if events[i].at.Equal(events[j].at) {
		return events[i].sequence < events[j].sequence
	}
	return events[i].at.Before(events[j].at)
}

// Swap exchanges two events.
func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

// Push appends an event.
func (events *events) Push(pushed any) { *events = append(*events, pushed.(event)) }

// Pop removes the last event.
func (events *events) Pop() any {
	last := len(*events) - 1
	removed := (*events)[last]
	*events = (*events)[:last]
	return removed
}
