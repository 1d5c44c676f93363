package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"lagoonlanding.example/demo/caller"
	"lagoonlanding.example/demo/deployer"
	"lagoonlanding.example/demo/printer"
)

const (
	settlingTimeout  = 25 * time.Second
	settlingInterval = 200 * time.Millisecond
)

var errNotSettled = errors.New("not all keys are served or not all instances own keys")

// RunFaults injects each fault whose name contains the text, under load, and reports whether no guarantee was violated.
func (demonstrator *Demonstrator) RunFaults(ctx context.Context, only string) (bool, error) {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	loadgenerator := caller.NewLoadGenerator(caller.Config{Plan: demonstrator.config.Plan, Instances: demonstrator.config.Fleet.Instances(), Seed: loadSeed})
	loadgenerator.Start(loadCtx)
	passed := true
	for _, fault := range Faults() {
		if !strings.Contains(fault.Name(), only) {
			continue
		}
		ok, err := demonstrator.runFault(ctx, fault)
		if err != nil {
			return false, fmt.Errorf("%s: %w", fault.Name(), err)
		}
		passed = passed && ok
	}
	stop()
	demonstrator.config.Printer.Step("waiting for the last operations")
	clean, err := demonstrator.report(loadgenerator.Results())
	return clean && passed, err
}

func (demonstrator *Demonstrator) runFault(ctx context.Context, fault Fault) (bool, error) {
	owners, err := demonstrator.waitUntilSettled(ctx)
	if err != nil {
		return false, err
	}
	victim := demonstrator.selectVictim(owners)
	keys := owners.KeysOf(victim.Name(), probedKeys)
	unavailable, err := demonstrator.measureUnavailability(ctx, "", keys, faultDuration, func() error {
		return fault.inject(ctx, demonstrator.config.Fleet, victim)
	})
	if err != nil {
		return false, err
	}
	unavailableAfterRepair, err := demonstrator.measureUnavailability(ctx, "", keys, faultDuration, func() error {
		return fault.repair(ctx, demonstrator.config.Fleet, victim)
	})
	if err != nil {
		return false, err
	}
	ok := unavailable <= maxUnavailable && unavailableAfterRepair <= maxUnavailable
	verdict := "within"
	if !ok {
		verdict = "OVER"
	}
	demonstrator.config.Printer.Step("%-44s unavailable %9s, after repair %9s, %s %s", fault.Name(),
		printer.FormatMilliseconds(unavailable), printer.FormatMilliseconds(unavailableAfterRepair), verdict, maxUnavailable)
	return ok, nil
}

// waitUntilSettled waits until all keys of the sharded service are served and each of its instances owns keys.
func (demonstrator *Demonstrator) waitUntilSettled(ctx context.Context) (Owners, error) {
	ctx, cancel := context.WithTimeout(ctx, settlingTimeout)
	defer cancel()
	for {
		owners := demonstrator.sample(ctx, "")
		if counts := owners.counts(); len(counts) == len(demonstrator.config.Plan.Zones()) && counts[""] == 0 {
			return owners, nil
		}
		if err := sleep(ctx, settlingInterval); err != nil {
			return nil, errors.Join(errNotSettled, err)
		}
	}
}

// selectVictim returns the instance that owns the most keys in the last region, which is not the region of the store.
func (demonstrator *Demonstrator) selectVictim(owners Owners) deployer.Instance {
	zones := demonstrator.config.Plan.Zones()
	remoteRegion := zones[len(zones)-1].Region()
	var victim deployer.Instance
	most := 0
	for owner, count := range owners.counts() {
		instance, ok := demonstrator.config.Fleet.Instance(owner)
		if ok && instance.Zone().Region() == remoteRegion && count > most {
			victim, most = instance, count
		}
	}
	return victim
}
