package generator

import (
	"math/rand/v2"
	"time"
)

// weightedKind is a kind of event with its relative weight and its maximum duration.
type weightedKind struct {
	kind        Kind
	weight      int
	maxDuration time.Duration
}

// faults lists the kinds of faults that even seeds draw from; each even seed boosts the weights of a few.
var faults = []weightedKind{
	{kind: KindKill, weight: 6},
	{kind: KindFreeze, weight: 8, maxDuration: 6 * time.Second},
	{kind: KindRestart, weight: 14},
	{kind: KindReplace, weight: 4},
	{kind: KindLeave, weight: 3},
	{kind: KindCutDaemons, weight: 6, maxDuration: 5 * time.Second},
	{kind: KindCutZone, weight: 3, maxDuration: 4 * time.Second},
	{kind: KindCutRegions, weight: 3, maxDuration: 8 * time.Second},
	{kind: KindCutOneWay, weight: 4, maxDuration: 5 * time.Second},
	{kind: KindCutStore, weight: 4, maxDuration: 8 * time.Second},
	{kind: KindStoreDown, weight: 3, maxDuration: 15 * time.Second},
	{kind: KindStoreSlow, weight: 3, maxDuration: 8 * time.Second},
	{kind: KindStoreLoss, weight: 5},
	{kind: KindMessageLoss, weight: 3, maxDuration: 3 * time.Second},
	{kind: KindMessageDelay, weight: 4, maxDuration: 4 * time.Second},
	{kind: KindZoneOut, weight: 3},
	{kind: KindZoneReturn, weight: 4},
	{kind: KindOperatorsRace, weight: 2},
	{kind: KindDrift, weight: 6},
}

// targeted lists the kinds that odd seeds draw from instead of faults.
// Each targeted event takes seconds, so other faults are rare enough not to interfere.
var targeted = []weightedKind{
	{kind: KindDeposeOwner, weight: 14, maxDuration: 700 * time.Millisecond},
	{kind: KindMoveShard, weight: 10},
	{kind: KindSucceedWitness, weight: 10, maxDuration: 700 * time.Millisecond},
	{kind: KindTrapLoser, weight: 10, maxDuration: 300 * time.Millisecond},
	{kind: KindRestart, weight: 20},
	{kind: KindReplace, weight: 2},
	{kind: KindZoneReturn, weight: 6},
	{kind: KindMessageDelay, weight: 2, maxDuration: 2 * time.Second},
	{kind: KindDrift, weight: 6},
	{kind: KindRequest, weight: 200},
	{kind: KindResend, weight: 50},
	{kind: KindPause, weight: 60},
}

const (
	requestWeight = 500
	resendWeight  = 120
	pauseWeight   = 40
	// boostFactor multiplies the weights of the boosted faults of a seed.
	boostFactor = 8
	// boostCount is the number of boosts per seed; one fault may be boosted several times.
	boostCount = 4
	// selectorRange is the upper limit of Subject, Object and Parameter, exclusive.
	selectorRange = 1 << 20
	maxPause      = 3 * time.Second
	maxDelay      = 40 * time.Millisecond
)

// Generate returns the events of a run: targeted events for an odd seed, random faults for an even one.
//
// The same seed gives the same events.
func Generate(seed uint64, steps int) []Event {
	random := rand.New(rand.NewPCG(seed, 1))
	table := targeted
	if seed%2 == 0 {
		table = boostRandomFaults(random)
	}
	events := make([]Event, 0, steps)
	for range steps {
		events = append(events, generateEvent(random, table))
	}
	return events
}

func boostRandomFaults(random *rand.Rand) []weightedKind {
	table := make([]weightedKind, len(faults))
	copy(table, faults)
	for range boostCount {
		table[random.IntN(len(table))].weight *= boostFactor
	}
	return append(table,
		weightedKind{kind: KindRequest, weight: requestWeight},
		weightedKind{kind: KindResend, weight: resendWeight},
		weightedKind{kind: KindPause, weight: pauseWeight},
	)
}

func generateEvent(random *rand.Rand, table []weightedKind) Event {
	chosen := pickWeighted(random, table)
	config := EventConfig{
		Kind: chosen.kind, Delay: time.Duration(random.Int64N(int64(maxDelay))),
		Subject: random.IntN(selectorRange), Object: random.IntN(selectorRange), Parameter: random.IntN(selectorRange),
	}
	if chosen.kind == KindPause {
		config.Delay = time.Duration(random.Int64N(int64(maxPause)))
	}
	if chosen.maxDuration > 0 {
		config.Duration = time.Duration(random.Int64N(int64(chosen.maxDuration)))
	}
	return NewEvent(config)
}

func pickWeighted(random *rand.Rand, table []weightedKind) weightedKind {
	total := 0
	for _, entry := range table {
		total += entry.weight
	}
	offset := random.IntN(total)
	for _, entry := range table {
		if offset < entry.weight {
			return entry
		}
		offset -= entry.weight
	}
	return table[len(table)-1]
}
