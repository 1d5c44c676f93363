package demonstrator

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"lagoonlanding.example/demo/caller"
	"lagoonlanding.example/demo/checker"
	"lagoonlanding.example/demo/deployer"
	"lagoonlanding.example/demo/operator"
	"lagoonlanding.example/demo/printer"
)

// The lengths of the phases.
const (
	steadyTime   = 4 * time.Second
	takeoverTime = 3 * time.Second
	rejoinTime   = 4 * time.Second
	zoneOutTime  = 5 * time.Second
	returnTime   = 4 * time.Second
)

const (
	watchedKeys = 6
	loadSeed    = 7
)

// Config holds the parts of a Demonstrator.
type Config struct {
	// Plan is the deployment.
	Plan deployer.Plan
	// Fleet runs the deployment's processes.
	Fleet *deployer.Fleet
	// Operator publishes its sets.
	Operator *operator.Operator
	// Printer shows progress and results.
	Printer *printer.Printer
}

// Demonstrator plays the demonstration on a fleet.
type Demonstrator struct {
	config Config
	client *caller.Client
	rows   []printer.Row
}

// New returns the demonstrator that the configuration describes.
func New(config Config) *Demonstrator {
	return &Demonstrator{config: config, client: caller.NewClient()}
}

// Prepare starts the fleet, publishes its set and waits until keys are served.
func (demonstrator *Demonstrator) Prepare(ctx context.Context) error {
	print := demonstrator.config.Printer
	print.Step("starting the store, %d daemons and %d backend servers", len(demonstrator.config.Fleet.Instances()), len(demonstrator.config.Fleet.Instances()))
	if err := demonstrator.config.Fleet.Start(ctx); err != nil {
		return err
	}
	if err := demonstrator.config.Fleet.AwaitStore(ctx); err != nil {
		return err
	}
	print.Step("publishing the set of %s", demonstrator.config.Plan.Name())
	if err := demonstrator.config.Operator.Publish(ctx); err != nil {
		return err
	}
	if err := demonstrator.config.Fleet.AwaitReady(ctx); err != nil {
		return err
	}
	owners := Sample(ctx, demonstrator.client, demonstrator.config.Plan, demonstrator.config.Fleet.Instances()[0])
	for key, owner := range owners {
		if owner == "" {
			return fmt.Errorf("key %s has no owner after the start", key)
		}
	}
	print.Step("all keys are served")
	return nil
}

// Run plays load and faults and reports whether nothing was doubled, lost or served outside its region.
func (demonstrator *Demonstrator) Run(ctx context.Context) (bool, error) {
	loading, stop := context.WithCancel(ctx)
	defer stop()
	load := caller.NewLoadGenerator(caller.Config{Plan: demonstrator.config.Plan, Instances: demonstrator.config.Fleet.Instances(), Seed: loadSeed})
	load.Start(loading)
	demonstrator.config.Printer.Step("sending a mixed load")
	phases := []func(context.Context) error{demonstrator.steady, demonstrator.loseOwner, demonstrator.takeZoneOut}
	for _, phase := range phases {
		if err := phase(ctx); err != nil {
			return false, err
		}
	}
	stop()
	demonstrator.config.Printer.Step("waiting for the last operations")
	return demonstrator.report(load.Results())
}

func (demonstrator *Demonstrator) report(results []caller.Result) (bool, error) {
	runs, err := checker.ReadRuns(demonstrator.config.Fleet.RunLogDir())
	if err != nil {
		return false, err
	}
	verdict := checker.Check(demonstrator.config.Plan, results, runs)
	rows := printer.Outcomes(results, verdict)
	rows = append(rows, printer.Latencies(demonstrator.config.Plan, results)...)
	demonstrator.config.Printer.Table(append(rows, demonstrator.rows...))
	return verdict.IsClean(), nil
}

func (demonstrator *Demonstrator) steady(ctx context.Context) error {
	if err := pause(ctx, steadyTime); err != nil {
		return err
	}
	owners := demonstrator.sample(ctx, "")
	demonstrator.add("imbalance of keys, most over mean", "%.2f of %d owners", owners.Imbalance(), len(owners.counts()))
	return nil
}

func (demonstrator *Demonstrator) loseOwner(ctx context.Context) error {
	before := demonstrator.sample(ctx, "")
	victim := before.Busiest()
	instance, ok := demonstrator.config.Fleet.Instance(victim)
	if !ok {
		return fmt.Errorf("the owner %q is none of the daemons", victim)
	}
	demonstrator.config.Printer.Step("killing the owner %s with its backend server", victim)
	unavailable, err := demonstrator.watch(ctx, victim, before.KeysOf(victim, watchedKeys), takeoverTime, func() error {
		demonstrator.config.Fleet.Daemon(victim).Kill()
		demonstrator.config.Fleet.Server(victim).Kill()
		return nil
	})
	if err != nil {
		return err
	}
	after := demonstrator.sample(ctx, victim)
	least := len(before.KeysOf(victim, sampledKeys))
	demonstrator.add("unavailable time after the loss", "%s", printer.FormatMilliseconds(unavailable))
	demonstrator.add("churn of the loss", "%d of %d keys moved, %d at least", before.Moved(after), sampledKeys, least)
	demonstrator.config.Printer.Step("replacing %s", victim)
	if err := demonstrator.config.Fleet.StartDaemon(instance); err != nil {
		return err
	}
	if err := demonstrator.config.Fleet.StartServer(instance); err != nil {
		return err
	}
	return pause(ctx, rejoinTime)
}

func (demonstrator *Demonstrator) takeZoneOut(ctx context.Context) error {
	zone := demonstrator.config.Plan.Zones()[0].Name()
	victim := demonstrator.config.Plan.Services()[0].Name() + "-" + zone
	before := demonstrator.sample(ctx, victim)
	demonstrator.config.Printer.Step("taking the zone %s out", zone)
	var out, inForce time.Time
	unavailable, err := demonstrator.watch(ctx, victim, before.KeysOf(victim, watchedKeys), zoneOutTime, func() error {
		out = time.Now()
		err := demonstrator.config.Operator.TakeZoneOutOfService(ctx, zone)
		inForce = time.Now()
		return err
	})
	if err != nil {
		return err
	}
	demonstrator.add("zone out, in force everywhere after", "%s", printer.FormatMilliseconds(inForce.Sub(out)))
	demonstrator.add("unavailable time while the zone leaves", "%s", printer.FormatMilliseconds(unavailable))
	if err := demonstrator.addLastRun(zone, out); err != nil {
		return err
	}
	demonstrator.config.Printer.Step("returning the zone %s", zone)
	keys := demonstrator.sample(ctx, victim).KeysOf(before.Busiest(), watchedKeys)
	unavailable, err = demonstrator.watch(ctx, victim, keys, returnTime, func() error {
		return demonstrator.config.Operator.ReturnZoneToService(ctx, zone)
	})
	demonstrator.add("unavailable time while the zone returns", "%s", printer.FormatMilliseconds(unavailable))
	after := demonstrator.sample(ctx, victim)
	demonstrator.add("owners after the return", "%d, imbalance %.2f", len(after.counts()), after.Imbalance())
	return err
}

// addLastRun notes how long after the order the zone's backend servers still got new work.
func (demonstrator *Demonstrator) addLastRun(zone string, out time.Time) error {
	runs, err := checker.ReadRuns(demonstrator.config.Fleet.RunLogDir())
	if err != nil {
		return err
	}
	last := out
	for _, run := range runs {
		if strings.HasSuffix(run.Server(), "-"+zone) && run.Started().After(last) {
			last = run.Started()
		}
	}
	demonstrator.add("last new work in the zone after the order", "%s", printer.FormatMilliseconds(last.Sub(out)))
	return nil
}

// watch returns the longest time that one of the keys was not served around the event.
func (demonstrator *Demonstrator) watch(ctx context.Context, avoid string, keys []string, length time.Duration, event func() error) (time.Duration, error) {
	watching, stop := context.WithCancel(ctx)
	defer stop()
	var running sync.WaitGroup
	var probers []*caller.Prober
	for _, key := range keys {
		prober := caller.NewProber(demonstrator.client, demonstrator.other(avoid), demonstrator.config.Plan.Services()[0], demonstrator.config.Plan.Tenants()[0], key)
		probers = append(probers, prober)
		running.Go(func() { prober.Run(watching) })
	}
	if err := event(); err != nil {
		return 0, err
	}
	if err := pause(ctx, length); err != nil {
		return 0, err
	}
	var longest time.Duration
	for _, prober := range probers {
		longest = max(longest, prober.Unavailable())
	}
	stop()
	running.Wait()
	return longest, nil
}

func (demonstrator *Demonstrator) sample(ctx context.Context, avoid string) Owners {
	return Sample(ctx, demonstrator.client, demonstrator.config.Plan, demonstrator.other(avoid))
}

// other returns a daemon that the event doesn't hit.
func (demonstrator *Demonstrator) other(avoid string) deployer.Instance {
	instances := demonstrator.config.Fleet.Instances()
	zone := demonstrator.config.Plan.Zones()[1]
	for _, instance := range instances {
		if instance.Zone() == zone && !instance.Service().IsSharded() && instance.Name() != avoid {
			return instance
		}
	}
	return instances[0]
}

func (demonstrator *Demonstrator) add(measure, format string, values ...any) {
	demonstrator.rows = append(demonstrator.rows, printer.NewRow(measure, format, values...))
}

func pause(ctx context.Context, length time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(length):
		return nil
	}
}
