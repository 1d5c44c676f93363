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
	settleTimeout  = 25 * time.Second
	settleInterval = 200 * time.Millisecond
)

var errNotSettled = errors.New("the fleet has not settled")

// RunFaults plays each fault whose name contains the text, under load, and reports whether all kept their promises.
func (demonstrator *Demonstrator) RunFaults(ctx context.Context, only string) (bool, error) {
	loading, stop := context.WithCancel(ctx)
	defer stop()
	load := caller.NewLoadGenerator(caller.Config{Plan: demonstrator.config.Plan, Instances: demonstrator.config.Fleet.Instances(), Seed: loadSeed})
	load.Start(loading)
	kept := true
	for _, fault := range Faults() {
		if !strings.Contains(fault.Name(), only) {
			continue
		}
		ok, err := demonstrator.playFault(ctx, fault)
		if err != nil {
			return false, fmt.Errorf("%s: %w", fault.Name(), err)
		}
		kept = kept && ok
	}
	stop()
	demonstrator.config.Printer.Step("waiting for the last operations")
	clean, err := demonstrator.report(load.Results())
	return clean && kept, err
}

func (demonstrator *Demonstrator) playFault(ctx context.Context, fault Fault) (bool, error) {
	owners, err := demonstrator.settle(ctx)
	if err != nil {
		return false, err
	}
	victim := demonstrator.victim(owners)
	keys := owners.KeysOf(victim.Name(), watchedKeys)
	unavailable, err := demonstrator.watch(ctx, "", keys, faultTime, func() error {
		return fault.inject(ctx, demonstrator.config.Fleet, victim)
	})
	if err != nil {
		return false, err
	}
	healing, err := demonstrator.watch(ctx, "", keys, faultTime, func() error {
		return fault.mend(ctx, demonstrator.config.Fleet, victim)
	})
	if err != nil {
		return false, err
	}
	ok := unavailable <= unavailableLimit && healing <= unavailableLimit
	verdict := "within"
	if !ok {
		verdict = "OVER"
	}
	demonstrator.config.Printer.Step("%-44s unavailable %9s, on its return %9s, %s %s", fault.Name(),
		printer.FormatMilliseconds(unavailable), printer.FormatMilliseconds(healing), verdict, unavailableLimit)
	return ok, nil
}

// settle waits until each daemon of the divided service owns keys again.
func (demonstrator *Demonstrator) settle(ctx context.Context) (Owners, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		owners := demonstrator.sample(ctx, "")
		if counts := owners.counts(); len(counts) == len(demonstrator.config.Plan.Zones()) && counts[""] == 0 {
			return owners, nil
		}
		if err := pause(ctx, settleInterval); err != nil {
			return nil, errors.Join(errNotSettled, err)
		}
	}
}

// victim returns the owner in the region without the store that has the most keys.
func (demonstrator *Demonstrator) victim(owners Owners) deployer.Instance {
	zones := demonstrator.config.Plan.Zones()
	away := zones[len(zones)-1].Region()
	var victim deployer.Instance
	most := 0
	for owner, count := range owners.counts() {
		instance, ok := demonstrator.config.Fleet.Instance(owner)
		if ok && instance.Zone().Region() == away && count > most {
			victim, most = instance, count
		}
	}
	return victim
}
