package admitter

import (
	"math"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// levelInterval is the interval at which a level changes: some of them fit into the second within which it must follow the load.
	levelInterval = 100 * time.Millisecond
	// countHalfLife is the age at which an arrival has half its weight: at 25 tasks a second some ten arrivals count.
	countHalfLife = 300 * time.Millisecond
	// cutRefusals is the share of arrivals that are refused at the gate from which the level falls. The gate refuses exactly, the level only saves
	// the hop, so some tasks more than fit keep the backend server busy.
	cutRefusals = 0.3
	// raiseRefusals is the share below which the level rises slowly.
	raiseRefusals = 0.15
	// surplus is the ratio of the arrivals that a lowered level admits to those that were served.
	surplus = 1.25
	// minArrivals is the weight of arrivals below which the level does not fall.
	minArrivals = 3
	// slowRaise and quickRaise are the steps in ranks: the quick one doubles with each interval in which a slot was free, so that a closed level
	// is fully open within six.
	slowRaise, quickRaise = 6, 16
	// minLevel keeps a share of the most urgent priority whatever was measured.
	minLevel = RanksPerPriority / 4
)

// Leveler determines the admission level of one gate. It is not safe for concurrent use.
//
// Load: more tasks than the backend server completes, up to several times its capacity, with steps within a second. The level falls to the
// ranks that were served recently and rises as soon as a slot is free.
type Leveler struct {
	arrivals  [ranks]float64
	total     float64
	refused   float64
	countedAt time.Time
	// level is the number of admitted ranks.
	level   float64
	step    float64
	idle    bool
	nextAt  time.Time
	highest int
}

// NewLeveler returns a leveler that admits all ranks.
func NewLeveler() *Leveler { return &Leveler{level: ranks, step: quickRaise} }

// Arrived counts a task that arrived at the gate.
func (leveler *Leveler) Arrived(now time.Time, rank Rank) {
	leveler.update(now)
	leveler.arrivals[rank]++
	leveler.total++
	leveler.highest = max(leveler.highest, int(rank))
}

// Refused counts a task that the gate refused, now or after a wait, because all slots were busy.
func (leveler *Leveler) Refused(now time.Time) {
	leveler.update(now)
	leveler.refused++
}

// Idle records that a slot was free and no task waited.
func (leveler *Leveler) Idle(now time.Time) {
	leveler.update(now)
	leveler.idle = true
}

// RefusedShare returns the share of the recent arrivals that were refused.
func (leveler *Leveler) RefusedShare(now time.Time) float64 {
	leveler.update(now)
	return leveler.refused / max(leveler.total, minArrivals)
}

// Level returns the current level, zero if all ranks are admitted.
func (leveler *Leveler) Level(now time.Time) lagoonlanding.AdmissionLevel {
	leveler.update(now)
	if leveler.level >= ranks {
		return 0
	}
	return lagoonlanding.AdmissionLevel(max(leveler.level, minLevel))
}

// update changes the level once in each interval.
func (leveler *Leveler) update(now time.Time) {
	if leveler.nextAt.IsZero() {
		leveler.nextAt, leveler.countedAt = now.Add(levelInterval), now
	}
	if now.Before(leveler.nextAt) {
		return
	}
	leveler.nextAt = now.Add(levelInterval)
	share := leveler.refused / max(leveler.total, 1)
	switch {
	case leveler.idle || leveler.total < minArrivals:
		leveler.raise(leveler.step)
		leveler.step *= 2
	case share > cutRefusals:
		leveler.cut()
		leveler.step = quickRaise
	case share < raiseRefusals:
		leveler.raise(slowRaise)
		leveler.step = quickRaise
	}
	leveler.idle = false
	leveler.decay(now)
}

// cut lowers the level to the ranks whose tasks the gate served recently.
func (leveler *Leveler) cut() {
	room := (leveler.total - leveler.refused) * surplus
	sum := 0.0
	for rank, count := range leveler.arrivals {
		if sum += count; sum > room {
			leveler.level = min(leveler.level, float64(rank))
			return
		}
	}
}

// raise admits more ranks; beyond the highest one that arrived lately all are admitted.
func (leveler *Leveler) raise(step float64) {
	leveler.level += step
	if int(leveler.level) > (leveler.highest/RanksPerPriority+1)*RanksPerPriority {
		leveler.level = ranks
	}
}

func (leveler *Leveler) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(leveler.countedAt).Seconds() / countHalfLife.Seconds())
	leveler.countedAt = now
	leveler.total, leveler.refused = leveler.total*factor, leveler.refused*factor
	for rank := range leveler.arrivals {
		leveler.arrivals[rank] *= factor
	}
}
