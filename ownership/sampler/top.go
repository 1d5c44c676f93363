package sampler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// TopConfig holds what bounds a Top.
type TopConfig struct {
	// Capacity is the number of names that are counted at once.
	Capacity int
	// HalfLife is how long a request takes to count half.
	HalfLife time.Duration
	// Now is the time from which requests are counted.
	Now time.Time
}

// Top counts the busiest names by the space-saving algorithm with counts that decay; it is not safe for concurrent use.
//
// A count is never too low; it is too high by at most the smallest count at the time at which the name was first kept.
type Top[Name cmp.Ordered] struct {
	capacity int
	halfLife time.Duration
	origin   time.Time
	counters []counter[Name]
	index    map[Name]int
}

// counter is a place of a min-heap by weight.
type counter[Name cmp.Ordered] struct {
	name   Name
	weight float64
	excess float64
}

// Rate is a name's share of the stream.
type Rate[Name cmp.Ordered] struct {
	name      Name
	perSecond float64
	certain   float64
}

// Name returns what was counted.
func (rate Rate[Name]) Name() Name { return rate.name }

// PerSecond returns the requests a second, never too low.
func (rate Rate[Name]) PerSecond() float64 { return rate.perSecond }

// Certain returns the requests a second that are surely this name's.
func (rate Rate[Name]) Certain() float64 { return rate.certain }

// NewTop returns a counter that has counted nothing.
func NewTop[Name cmp.Ordered](config TopConfig) *Top[Name] {
	return &Top[Name]{
		capacity: config.Capacity, halfLife: config.HalfLife, origin: config.Now,
		index: make(map[Name]int, config.Capacity),
	}
}

// Add counts one request at the given time; in place of the name with the lowest count if there is no room.
func (top *Top[Name]) Add(now time.Time, name Name) {
	weight := top.weight(now)
	at, known := top.index[name]
	switch {
	case known:
		top.counters[at].weight += weight
		top.sink(at)
	case len(top.counters) < top.capacity:
		top.counters = append(top.counters, counter[Name]{name: name, weight: weight})
		top.index[name] = len(top.counters) - 1
		top.rise(len(top.counters) - 1)
	default:
		least := top.counters[0]
		delete(top.index, least.name)
		top.counters[0] = counter[Name]{name: name, weight: least.weight + weight, excess: least.weight}
		top.index[name] = 0
		top.sink(0)
	}
}

// Rates returns the names with at least the given requests a second, the busiest first.
func (top *Top[Name]) Rates(now time.Time, least float64) []Rate[Name] {
	// A steady stream of r a second weighs r*halfLife/ln 2 requests in all.
	scale := math.Ln2 / (top.halfLife.Seconds() * top.weight(now))
	var rates []Rate[Name]
	for _, counter := range top.counters {
		rate := Rate[Name]{
			name:      counter.name,
			perSecond: counter.weight * scale,
			certain:   (counter.weight - counter.excess) * scale,
		}
		if rate.perSecond >= least {
			rates = append(rates, rate)
		}
	}
	slices.SortFunc(rates, func(a, b Rate[Name]) int {
		return cmp.Or(cmp.Compare(b.perSecond, a.perSecond), cmp.Compare(a.name, b.name))
	})
	return rates
}

// largestAge bounds the half-lives since the origin, so that weights stay far from the largest float.
const largestAge = 64

// weight returns what a request counts now, relative to one at the origin, so that older counts need no update.
func (top *Top[Name]) weight(now time.Time) float64 {
	age := float64(now.Sub(top.origin)) / float64(top.halfLife)
	if age > largestAge {
		top.rebase(now, math.Exp2(-age))
		age = 0
	}
	return math.Exp2(age)
}

func (top *Top[Name]) rebase(now time.Time, factor float64) {
	top.origin = now
	for i := range top.counters {
		top.counters[i].weight *= factor
		top.counters[i].excess *= factor
	}
}

func (top *Top[Name]) sink(at int) {
	for {
		child := 2*at + 1
		if child >= len(top.counters) {
			return
		}
		if child+1 < len(top.counters) && top.counters[child+1].weight < top.counters[child].weight {
			child++
		}
		if top.counters[at].weight <= top.counters[child].weight {
			return
		}
		top.swap(at, child)
		at = child
	}
}

func (top *Top[Name]) rise(at int) {
	for at > 0 {
		parent := (at - 1) / 2
		if top.counters[parent].weight <= top.counters[at].weight {
			return
		}
		top.swap(at, parent)
		at = parent
	}
}

func (top *Top[Name]) swap(a, b int) {
	top.counters[a], top.counters[b] = top.counters[b], top.counters[a]
	top.index[top.counters[a].name] = a
	top.index[top.counters[b].name] = b
}
