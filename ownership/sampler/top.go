package sampler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// TopConfig holds the configuration of a Top.
type TopConfig struct {
	// Capacity is the maximum number of names that are counted at the same time.
	Capacity int
	// HalfLife is the time after which the weight of a request has decreased by half.
	HalfLife time.Duration
	// Now is the start time of the counting.
	Now time.Time
}

// Top counts the most frequent names with the Space-Saving algorithm and exponential decay; it is not safe for concurrent use.
//
// Counts are never underestimated. They are overestimated by at most the smallest count at the time the name was added.
type Top[Name cmp.Ordered] struct {
	capacity int
	halfLife time.Duration
	origin   time.Time
	counters []counter[Name]
	index    map[Name]int
}

// counter is an element of a min-heap ordered by weight.
type counter[Name cmp.Ordered] struct {
	name      Name
	weight    float64
	overcount float64
}

// Rate is the request rate of a name.
type Rate[Name cmp.Ordered] struct {
	name       Name
	perSecond  float64
	guaranteed float64
}

// Name returns the counted name.
func (rate Rate[Name]) Name() Name { return rate.name }

// PerSecond returns the requests per second, which is an upper bound.
func (rate Rate[Name]) PerSecond() float64 { return rate.perSecond }

// Guaranteed returns a lower bound of the requests per second.
func (rate Rate[Name]) Guaranteed() float64 { return rate.guaranteed }

// NewTop returns a Top without counts.
func NewTop[Name cmp.Ordered](config TopConfig) *Top[Name] {
	return &Top[Name]{
		capacity: config.Capacity, halfLife: config.HalfLife, origin: config.Now,
		index: make(map[Name]int, config.Capacity),
	}
}

// Add counts one request at the given time; if the capacity is reached, a new name replaces the one with the lowest count.
func (top *Top[Name]) Add(now time.Time, name Name) {
	weight := top.weight(now)
	at, known := top.index[name]
	switch {
	case known:
		top.counters[at].weight += weight
		top.siftDown(at)
	case len(top.counters) < top.capacity:
		top.counters = append(top.counters, counter[Name]{name: name, weight: weight})
		top.index[name] = len(top.counters) - 1
		top.siftUp(len(top.counters) - 1)
	default:
		lowest := top.counters[0]
		delete(top.index, lowest.name)
		top.counters[0] = counter[Name]{name: name, weight: lowest.weight + weight, overcount: lowest.weight}
		top.index[name] = 0
		top.siftDown(0)
	}
}

// Rates returns the names with at least minRate requests per second, highest rate first.
func (top *Top[Name]) Rates(now time.Time, minRate float64) []Rate[Name] {
	// A steady stream of r requests per second converges to a weight of r*halfLife/ln 2.
	scale := math.Ln2 / (top.halfLife.Seconds() * top.weight(now))
	var rates []Rate[Name]
	for _, counter := range top.counters {
		rate := Rate[Name]{
			name:       counter.name,
			perSecond:  counter.weight * scale,
			guaranteed: (counter.weight - counter.overcount) * scale,
		}
		if rate.perSecond >= minRate {
			rates = append(rates, rate)
		}
	}
	slices.SortFunc(rates, func(a, b Rate[Name]) int {
		return cmp.Or(cmp.Compare(b.perSecond, a.perSecond), cmp.Compare(a.name, b.name))
	})
	return rates
}

// maxAge bounds the half-lives since the origin, so that weights stay far below the largest float.
const maxAge = 64

// weight returns the weight of a request now relative to one at the origin; it grows with time so that stored counts need no decay.
func (top *Top[Name]) weight(now time.Time) float64 {
	age := float64(now.Sub(top.origin)) / float64(top.halfLife)
	if age > maxAge {
		top.rebase(now, math.Exp2(-age))
		age = 0
	}
	return math.Exp2(age)
}

func (top *Top[Name]) rebase(now time.Time, factor float64) {
	top.origin = now
	for i := range top.counters {
		top.counters[i].weight *= factor
		top.counters[i].overcount *= factor
	}
}

func (top *Top[Name]) siftDown(at int) {
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

func (top *Top[Name]) siftUp(at int) {
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
