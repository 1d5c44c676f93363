package gatekeeper

import (
	"math"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	demandHalfLife = lagoonlanding.DemandHalfLife
	// recentHalfLife is that age in the recent demand, which shows whether the load of a key has only just begun or ended.
	recentHalfLife = time.Second
	// rescaleHalfLives bounds the age of the time base, so that the weights stay in the range of a float32.
	rescaleHalfLives = 30
)

// demand is the run time that arrives for each range of shard keys, refused tasks included.
type demand struct {
	lasting, recent weightedSums
}

// observe counts a task for a key that takes the given time.
func (demand *demand) observe(now time.Time, key int, took time.Duration) {
	if key == lagoonlanding.NoShardKey {
		return
	}
	demand.lasting.observe(now, key, took, demandHalfLife)
	demand.recent.observe(now, key, took, recentHalfLife)
}

// value returns the average number of slots that the tasks of each range need, per slot of the backend server.
func (demand *demand) value(now time.Time, slots int) []float32 {
	return demand.lasting.value(now, slots, demandHalfLife)
}

// weightedSums are the run times for each range, in which newer tasks count more: a task at time t has the weight 2^((t-base)/half-life).
type weightedSums struct {
	base time.Time
	sums []float32
}

func (weightedsums *weightedSums) observe(now time.Time, key int, took, halfLife time.Duration) {
	if weightedsums.sums == nil {
		weightedsums.sums, weightedsums.base = make([]float32, lagoonlanding.DemandRanges), now
	}
	if now.Sub(weightedsums.base) > rescaleHalfLives*halfLife {
		factor := float32(1 / weightedsums.weight(now, halfLife))
		for index := range weightedsums.sums {
			weightedsums.sums[index] *= factor
		}
		weightedsums.base = now
	}
	weightedsums.sums[lagoonlanding.DemandRangeOf(key)] += float32(took.Seconds() * weightedsums.weight(now, halfLife))
}

func (weightedsums *weightedSums) weight(at time.Time, halfLife time.Duration) float64 {
	return math.Exp2(at.Sub(weightedsums.base).Seconds() / halfLife.Seconds())
}

func (weightedsums *weightedSums) value(now time.Time, slots int, halfLife time.Duration) []float32 {
	values := make([]float32, len(weightedsums.sums))
	if len(weightedsums.sums) == 0 {
		return values
	}
	// The weights of tasks that arrive at a constant rate add up to that rate times the half-life over ln 2.
	factor := math.Ln2 / halfLife.Seconds() / weightedsums.weight(now, halfLife) / float64(max(slots, 1))
	for index, sum := range weightedsums.sums {
		values[index] = float32(float64(sum) * factor)
	}
	return values
}

// Demand returns the recent load of the shard keys.
func (gate *Gate) Demand(now time.Time) lagoonlanding.Demand {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	slots := gate.usableSlots()
	return lagoonlanding.NewDemand(gate.demand.value(now, slots), gate.meanRunTimes.overall()).
		WithRecent(gate.demand.recent.value(now, slots, recentHalfLife))
}
