package drawer

import (
	"math/rand/v2"
	"time"
)

// weighted is a kind with its share of the events and the longest term that it lasts.
type weighted struct {
	kind   Kind
	weight int
	term   time.Duration
}

// faults lists the kinds of faults; a seed makes some of them frequent.
var faults = []weighted{
	{kind: KindKill, weight: 6},
	{kind: KindFreeze, weight: 8, term: 6 * time.Second},
	{kind: KindRestart, weight: 14},
	{kind: KindReplace, weight: 4},
	{kind: KindLeave, weight: 3},
	{kind: KindCutDaemons, weight: 6, term: 5 * time.Second},
	{kind: KindCutZone, weight: 3, term: 4 * time.Second},
	{kind: KindCutRegions, weight: 3, term: 8 * time.Second},
	{kind: KindCutOneWay, weight: 4, term: 5 * time.Second},
	{kind: KindCutStore, weight: 4, term: 8 * time.Second},
	{kind: KindStoreDown, weight: 3, term: 15 * time.Second},
	{kind: KindStoreSlow, weight: 3, term: 8 * time.Second},
	{kind: KindStoreLoss, weight: 5},
	{kind: KindMessageLoss, weight: 3, term: 3 * time.Second},
	{kind: KindMessageDelay, weight: 4, term: 4 * time.Second},
	{kind: KindZoneOut, weight: 3},
	{kind: KindZoneReturn, weight: 4},
	{kind: KindRace, weight: 2},
	{kind: KindDrift, weight: 6},
}

// aimed lists the kinds that odd seeds draw in place of the faults; each plays for seconds, so few others disturb it.
var aimed = []weighted{
	{kind: KindDepose, weight: 14, term: 700 * time.Millisecond},
	{kind: KindMove, weight: 10},
	{kind: KindSucceed, weight: 10, term: 700 * time.Millisecond},
	{kind: KindTrap, weight: 10, term: 300 * time.Millisecond},
	{kind: KindRestart, weight: 20},
	{kind: KindReplace, weight: 2},
	{kind: KindZoneReturn, weight: 6},
	{kind: KindMessageDelay, weight: 2, term: 2 * time.Second},
	{kind: KindDrift, weight: 6},
	{kind: KindRequest, weight: 200},
	{kind: KindResend, weight: 50},
	{kind: KindPause, weight: 60},
}

const (
	requestWeight = 500
	resendWeight  = 120
	pauseWeight   = 40
	// favouredFactor makes the favoured faults of a seed frequent.
	favouredFactor = 8
	favouredCount  = 4
	largestChoice  = 1 << 20
	longestPause   = 3 * time.Second
	longestStep    = 40 * time.Millisecond
)

// Draw returns the events of a run, aimed ones with an odd seed; the same seed gives the same events.
func Draw(seed uint64, steps int) []Event {
	random := rand.New(rand.NewPCG(seed, 1))
	table := aimed
	if seed%2 == 0 {
		table = favour(random)
	}
	events := make([]Event, 0, steps)
	for range steps {
		events = append(events, draw(random, table))
	}
	return events
}

func favour(random *rand.Rand) []weighted {
	table := make([]weighted, len(faults))
	copy(table, faults)
	for range favouredCount {
		table[random.IntN(len(table))].weight *= favouredFactor
	}
	return append(table,
		weighted{kind: KindRequest, weight: requestWeight},
		weighted{kind: KindResend, weight: resendWeight},
		weighted{kind: KindPause, weight: pauseWeight},
	)
}

func draw(random *rand.Rand, table []weighted) Event {
	chosen := choose(random, table)
	config := EventConfig{
		Kind: chosen.kind, After: time.Duration(random.Int64N(int64(longestStep))),
		Subject: random.IntN(largestChoice), Object: random.IntN(largestChoice), Number: random.IntN(largestChoice),
	}
	if chosen.kind == KindPause {
		config.After = time.Duration(random.Int64N(int64(longestPause)))
	}
	if chosen.term > 0 {
		config.Term = time.Duration(random.Int64N(int64(chosen.term)))
	}
	return NewEvent(config)
}

func choose(random *rand.Rand, table []weighted) weighted {
	total := 0
	for _, entry := range table {
		total += entry.weight
	}
	at := random.IntN(total)
	for _, entry := range table {
		if at < entry.weight {
			return entry
		}
		at -= entry.weight
	}
	return table[len(table)-1]
}
