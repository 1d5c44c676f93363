package gatekeeper

import (
	"math"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// demandHalfLife is the age at which a task has half its weight in the demand: some run times of a task, so that a short burst on a few
	// keys counts little.
	demandHalfLife = 5 * time.Second
	// rescaleAfter bounds the age of the time base, so that the weights stay in the range of a float32.
	rescaleAfter = 30 * demandHalfLife
)

// demand is the run time that arrives for each range of shard keys, refused tasks included.
//
// Newer tasks count more: a task at time t has the weight 2^((t-base)/half-life).
type demand struct {
	base time.Time
	sums []float32
}

// observe counts a task for a key that takes the given time.
func (demand *demand) observe(now time.Time, key int, took time.Duration) {
	if key == lagoonlanding.NoShardKey {
		return
	}
	if demand.sums == nil {
		demand.sums, demand.base = make([]float32, lagoonlanding.DemandRanges), now
	}
	if now.Sub(demand.base) > rescaleAfter {
		factor := float32(1 / demand.weight(now))
		for index := range demand.sums {
			demand.sums[index] *= factor
		}
		demand.base = now
	}
	demand.sums[lagoonlanding.DemandRangeOf(key)] += float32(took.Seconds() * demand.weight(now))
}

func (demand *demand) weight(at time.Time) float64 {
	return math.Exp2(at.Sub(demand.base).Seconds() / demandHalfLife.Seconds())
}

// value returns the average number of slots that the tasks of each range need, per slot of the backend server.
func (demand *demand) value(now time.Time, slots int) []float32 {
	values := make([]float32, len(demand.sums))
	if len(demand.sums) == 0 {
		return values
	}
	// The weights of tasks that arrive at a constant rate add up to that rate times the half-life over ln 2.
	factor := math.Ln2 / demandHalfLife.Seconds() / demand.weight(now) / float64(max(slots, 1))
	for index, sum := range demand.sums {
		values[index] = float32(float64(sum) * factor)
	}
	return values
}

// Demand returns the recent load of the shard keys.
func (gate *Gate) Demand(now time.Time) lagoonlanding.Demand {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return lagoonlanding.NewDemand(gate.demand.value(now, gate.usableSlots()), gate.meanRunTimes.overall())
}
