package lagoonlanding

import "time"

const (
	// DemandRanges is the number of ranges of shard keys whose load is counted separately.
	DemandRanges = 4096
	// keysPerDemandRange is the number of keys in such a range.
	keysPerDemandRange = 65536 / DemandRanges
	// DemandHalfLife is the age at which a task has half its weight in the demand: some run times of a task, so that a short burst on a few
	// keys counts little.
	DemandHalfLife = 5 * time.Second
)

// DemandRangeOf returns the number of the range that contains a shard key.
func DemandRangeOf(key int) int { return min(max(key/keysPerDemandRange, 0), DemandRanges-1) }

// Demand is the recent load of a backend server by ranges of shard keys, refused tasks included.
type Demand struct {
	ranges      []float32
	recent      []float32
	meanRunTime time.Duration
}

// NewDemand returns a demand with the load of each range, in slots needed per slot, and the mean run time of a task.
func NewDemand(ranges []float32, meanRunTime time.Duration) Demand {
	return Demand{ranges: ranges, meanRunTime: meanRunTime}
}

// WithRecent returns a copy with the load of each range over the last second or so, which shows whether a load has only just begun or ended.
func (demand Demand) WithRecent(ranges []float32) Demand {
	demand.recent = ranges
	return demand
}

// Of returns the load of the keys from first to last, in slots needed per slot.
func (demand Demand) Of(first, last int) float64 { return sumOf(demand.ranges, first, last) }

// Recent returns the load of the keys from first to last over the last second or so, in slots needed per slot.
func (demand Demand) Recent(first, last int) float64 { return sumOf(demand.recent, first, last) }

func sumOf(ranges []float32, first, last int) float64 {
	sum := 0.0
	for number := DemandRangeOf(first); number <= DemandRangeOf(last) && number < len(ranges); number++ {
		sum += float64(ranges[number])
	}
	return sum
}

// MeanRunTime returns the mean run time of a task.
func (demand Demand) MeanRunTime() time.Duration { return demand.meanRunTime }
