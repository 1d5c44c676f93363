package player

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Player plays events in the order of their times; it is not safe for use by several goroutines.
type Player struct {
	now    time.Time
	origin time.Time
	events events
	count  uint64
	random *rand.Rand
}

// NewPlayer returns a player without events whose draws depend on the seed alone.
func NewPlayer(seed uint64) *Player {
	return &Player{now: start(), origin: start(), random: rand.New(rand.NewPCG(seed, 0))}
}

func start() time.Time { return time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC) }

// Now returns the time of the event that is played.
func (player *Player) Now() time.Time { return player.now }

// Begin plays all events so far and begins the experiment after them.
func (player *Player) Begin() {
	player.Run()
	player.origin = player.now
}

// Elapsed returns the time since the experiment began.
func (player *Player) Elapsed() time.Duration { return player.now.Sub(player.origin) }

// Random returns the source of the experiment's draws.
func (player *Player) Random() *rand.Rand { return player.random }

// After plays the event once the duration has passed.
func (player *Player) After(pause time.Duration, play func()) {
	player.count++
	heap.Push(&player.events, event{at: player.now.Add(max(pause, 0)), order: player.count, play: play})
}

// Every plays the event at once and then at each interval while it returns true.
func (player *Player) Every(interval time.Duration, play func() bool) {
	if play() {
		player.After(interval, func() { player.Every(interval, play) })
	}
}

// Arrivals plays the event at random times with the rate a second until the duration has passed.
func (player *Player) Arrivals(perSecond func() float64, until time.Duration, play func()) {
	gap := time.Duration(player.random.ExpFloat64() / perSecond() * float64(time.Second))
	if player.Elapsed()+gap > until {
		return
	}
	player.After(gap, func() {
		play()
		player.Arrivals(perSecond, until, play)
	})
}

// Run plays all events.
func (player *Player) Run() {
	for len(player.events) > 0 {
		next := heap.Pop(&player.events).(event)
		player.now = next.at
		next.play()
	}
}

type event struct {
	at    time.Time
	order uint64
	play  func()
}

type events []event

// Len returns the number of events.
func (events events) Len() int { return len(events) }

// Less reports whether an event comes before another.
func (events events) Less(i, j int) bool {
	if events[i].at.Equal(events[j].at) {
		return events[i].order < events[j].order
	}
	return events[i].at.Before(events[j].at)
}

// Swap exchanges two events.
func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

// Push appends an event.
func (events *events) Push(added any) { *events = append(*events, added.(event)) }

// Pop removes the last event.
func (events *events) Pop() any {
	last := len(*events) - 1
	removed := (*events)[last]
	*events = (*events)[:last]
	return removed
}
