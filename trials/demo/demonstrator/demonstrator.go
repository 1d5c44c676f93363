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

// Durations of the phases.
const (
	steadyDuration     = 4 * time.Second
	takeoverDuration   = 3 * time.Second
	rejoinDuration     = 4 * time.Second
	zoneOutDuration    = 5 * time.Second
	zoneReturnDuration = 4 * time.Second
)

const (
	// probedKeys is the number of keys whose unavailable time is measured.
	probedKeys = 6
	// loadSeed is the seed of the random operations.
	loadSeed = 7
)

// Config holds the dependencies of a Demonstrator.
type Config struct {
	// Plan describes the deployment.
	Plan deployer.Plan
	// Fleet runs the processes of the deployment.
	Fleet *deployer.Fleet
	// Operator publishes the sets of the deployment.
	Operator *operator.Operator
	// Printer prints progress and results.
	Printer *printer.Printer
}

// Demonstrator runs the demonstration on a fleet.
type Demonstrator struct {
	config Config
	client *caller.Client
	rows   []printer.Row
}

// New returns a demonstrator with the given configuration.
func New(config Config) *Demonstrator {
	return &Demonstrator{config: config, client: caller.NewClient()}
}

// Prepare starts the fleet, publishes its set and waits until all sampled keys are served.
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
			return fmt.Errorf("key %s has no owner after startup", key)
		}
	}
	print.Step("all keys are served")
	return nil
}

// Run runs all phases under load and reports whether the checker found no violation.
func (demonstrator *Demonstrator) Run(ctx context.Context) (bool, error) {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	loadgenerator := caller.NewLoadGenerator(caller.Config{Plan: demonstrator.config.Plan, Instances: demonstrator.config.Fleet.Instances(), Seed: loadSeed})
	loadgenerator.Start(loadCtx)
	demonstrator.config.Printer.Step("sending a mixed load")
	phases := []func(context.Context) error{demonstrator.runSteadyPhase, demonstrator.runOwnerLossPhase, demonstrator.runZoneOutPhase}
	for _, phase := range phases {
		if err := phase(ctx); err != nil {
			return false, err
		}
	}
	stop()
	demonstrator.config.Printer.Step("waiting for the last operations")
	return demonstrator.report(loadgenerator.Results())
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

func (demonstrator *Demonstrator) runSteadyPhase(ctx context.Context) error {
	if err := sleep(ctx, steadyDuration); err != nil {
		return err
	}
	owners := demonstrator.sample(ctx, "")
	demonstrator.addRow("key imbalance, maximum over mean", "%.2f of %d owners", owners.Imbalance(), len(owners.counts()))
	return nil
}

func (demonstrator *Demonstrator) runOwnerLossPhase(ctx context.Context) error {
	before := demonstrator.sample(ctx, "")
	victim := before.Busiest()
	instance, ok := demonstrator.config.Fleet.Instance(victim)
	if !ok {
		return fmt.Errorf("the owner %q is not an instance of the fleet", victim)
	}
	demonstrator.config.Printer.Step("killing the owner %s and its backend server", victim)
	unavailable, err := demonstrator.measureUnavailability(ctx, victim, before.KeysOf(victim, probedKeys), takeoverDuration, func() error {
		demonstrator.config.Fleet.Daemon(victim).Kill()
		demonstrator.config.Fleet.Server(victim).Kill()
		return nil
	})
	if err != nil {
		return err
	}
	after := demonstrator.sample(ctx, victim)
	minMoved := len(before.KeysOf(victim, sampledKeys))
	demonstrator.addRow("unavailable time after the owner loss", "%s", printer.FormatMilliseconds(unavailable))
	demonstrator.addRow("churn after the owner loss", "%d of %d keys moved, minimum %d", before.Moved(after), sampledKeys, minMoved)
	demonstrator.config.Printer.Step("replacing %s", victim)
	if err := demonstrator.config.Fleet.StartDaemon(instance); err != nil {
		return err
	}
	if err := demonstrator.config.Fleet.StartServer(instance); err != nil {
		return err
	}
	return sleep(ctx, rejoinDuration)
}

func (demonstrator *Demonstrator) runZoneOutPhase(ctx context.Context) error {
	zone := demonstrator.config.Plan.Zones()[0].Name()
	victim := demonstrator.config.Plan.Services()[0].Name() + "-" + zone
	before := demonstrator.sample(ctx, victim)
	demonstrator.config.Printer.Step("taking zone %s out of service", zone)
	var out, inForce time.Time
	unavailable, err := demonstrator.measureUnavailability(ctx, victim, before.KeysOf(victim, probedKeys), zoneOutDuration, func() error {
		out = time.Now()
		err := demonstrator.config.Operator.TakeZoneOutOfService(ctx, zone)
		inForce = time.Now()
		return err
	})
	if err != nil {
		return err
	}
	demonstrator.addRow("zone out of service, in force everywhere after", "%s", printer.FormatMilliseconds(inForce.Sub(out)))
	demonstrator.addRow("unavailable time while the zone is taken out", "%s", printer.FormatMilliseconds(unavailable))
	if err := demonstrator.addLastRun(zone, out); err != nil {
		return err
	}
	demonstrator.config.Printer.Step("putting zone %s back in service", zone)
	keys := demonstrator.sample(ctx, victim).KeysOf(before.Busiest(), probedKeys)
	unavailable, err = demonstrator.measureUnavailability(ctx, victim, keys, zoneReturnDuration, func() error {
		return demonstrator.config.Operator.ReturnZoneToService(ctx, zone)
	})
	demonstrator.addRow("unavailable time while the zone is put back", "%s", printer.FormatMilliseconds(unavailable))
	after := demonstrator.sample(ctx, victim)
	demonstrator.addRow("owners after the zone is put back", "%d, imbalance %.2f", len(after.counts()), after.Imbalance())
	return err
}

// addLastRun adds a row with the time from the request to take the zone out of service to the start of the last run in it.
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
	demonstrator.addRow("last run started in the zone after the request", "%s", printer.FormatMilliseconds(last.Sub(out)))
	return nil
}

// measureUnavailability triggers the event while it reads the keys through an instance other than the one to avoid, and
// returns the longest time for which one of the keys was not served.
func (demonstrator *Demonstrator) measureUnavailability(ctx context.Context, avoid string, keys []string, duration time.Duration, event func() error) (time.Duration, error) {
	probeCtx, stop := context.WithCancel(ctx)
	defer stop()
	var running sync.WaitGroup
	var probers []*caller.Prober
	for _, key := range keys {
		prober := caller.NewProber(demonstrator.client, demonstrator.unaffectedInstance(avoid), demonstrator.config.Plan.Services()[0], demonstrator.config.Plan.Tenants()[0], key)
		probers = append(probers, prober)
		running.Go(func() { prober.Run(probeCtx) })
	}
	if err := event(); err != nil {
		return 0, err
	}
	if err := sleep(ctx, duration); err != nil {
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
	return Sample(ctx, demonstrator.client, demonstrator.config.Plan, demonstrator.unaffectedInstance(avoid))
}

// unaffectedInstance returns an instance of a service that is not sharded in the second zone, other than the one to avoid; the
// events neither stop it nor take its zone out of service.
func (demonstrator *Demonstrator) unaffectedInstance(avoid string) deployer.Instance {
	instances := demonstrator.config.Fleet.Instances()
	zone := demonstrator.config.Plan.Zones()[1]
	for _, instance := range instances {
		if instance.Zone() == zone && !instance.Service().IsSharded() && instance.Name() != avoid {
			return instance
		}
	}
	return instances[0]
}

func (demonstrator *Demonstrator) addRow(measure, format string, values ...any) {
	demonstrator.rows = append(demonstrator.rows, printer.NewRow(measure, format, values...))
}

func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}
