package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"lagoonlanding.example/lagoonlanding/platform/simulator"
)

// drillStream is the random stream of the drills: the other faults of a seed do not depend on them.
const drillStream = 3 << 32

const (
	// maxCopyAge bounds the age of the copy from which the store is restored.
	maxCopyAge = 8 * time.Second
	// maxDrillOutage bounds the time for which the store is unavailable before a restore.
	maxDrillOutage = 2 * time.Second
	// maxOperatorDelay bounds the time after which the operator writes again what the store has lost.
	maxOperatorDelay = 4 * time.Second
)

// drawDrills returns random restores of the store; some follow the one before within seconds.
func (injector *injector) drawDrills(random *rand.Rand, count int, window time.Duration) []fault {
	var faults []fault
	for number := range count {
		at := time.Duration(random.Int64N(int64(window)))
		if number > 0 && random.IntN(2) == 0 {
			at = faults[number-1].at + time.Duration(random.Int64N(int64(maxCopyAge)))
		}
		age := time.Second + time.Duration(random.Int64N(int64(maxCopyAge-time.Second)))
		outage, delay := time.Duration(random.Int64N(int64(maxDrillOutage))), time.Duration(random.Int64N(int64(maxOperatorDelay)))
		faults = append(faults, fault{name: "restore of the store", at: at, duration: age + outage, run: func(ctx context.Context, _ fault) {
			injector.restoreStore(ctx, age, outage, delay)
		}})
	}
	return faults
}

// restoreStore restores the store from a copy of the given age after an outage; the operator writes its entries again after the delay.
func (injector *injector) restoreStore(ctx context.Context, age, outage, delay time.Duration) {
	store := injector.fleet.store
	store.Save()
	pause(ctx, age)
	store.SetFault(simulator.StoreRefuses)
	pause(ctx, outage)
	store.Restore()
	store.SetFault(simulator.StoreWorks)
	pause(ctx, delay)
	if err := injector.fleet.publishAgain(); err != nil {
		injector.fleet.checker.Report("STORE: %v", err)
	}
	injector.rewriteEvacuations()
}

// changeEvacuation begins or ends the evacuation of a zone.
func (injector *injector) changeEvacuation(key string, change int) {
	injector.operator.Lock()
	defer injector.operator.Unlock()
	injector.evacuations[key] += change
	if change < 0 {
		injector.fleet.store.Remove(key)
		return
	}
	injector.putEvacuation(key)
}

// rewriteEvacuations writes the evacuations again that a restore of the store has lost, and removes those that it has brought back.
func (injector *injector) rewriteEvacuations() {
	injector.operator.Lock()
	defer injector.operator.Unlock()
	for key, count := range injector.evacuations {
		if count > 0 {
			injector.putEvacuation(key)
		} else {
			injector.fleet.store.Remove(key)
		}
	}
}

func (injector *injector) putEvacuation(key string) {
	if err := injector.fleet.store.Put(key, "{}"); err != nil {
		injector.fleet.checker.Report("STORE: %v", err)
	}
}
