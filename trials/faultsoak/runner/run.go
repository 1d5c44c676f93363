package runner

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// startTimeout bounds the start of the whole fleet.
	startTimeout = 20 * time.Second
	// faultWindow is the time within which faults begin.
	faultWindow = 12 * time.Second
	// recoveryTimeout bounds the time from the last fault until everything is served again, as the users require.
	recoveryTimeout = 15 * time.Second
	// configurationTimeout bounds the time until a configuration is in force on all daemons, as the users require.
	configurationTimeout = 2 * time.Second
	clientCount          = 12
)

// Config holds the parameters of a run.
type Config struct {
	// Seed seeds the faults and the requests.
	Seed uint64
	// Binaries is the folder of the programs and Logs the folder for the logs and settings of the daemons.
	Binaries, Logs string
	// Daemons is the size of the fleet and Faults the number of faults.
	Daemons, Faults int
	// Drills is the number of restores of the store.
	Drills int
}

// Report is the result of a run.
type Report struct {
	statuses   map[int]int
	faults     []string
	violations []string
}

// Violations returns the broken guarantees.
func (report Report) Violations() []string { return report.violations }

// Faults returns the faults in the order in which they were drawn.
func (report Report) Faults() []string { return report.faults }

// String summarizes the run.
func (report Report) String() string {
	var parts []string
	for _, status := range slices.Sorted(maps.Keys(report.statuses)) {
		parts = append(parts, fmt.Sprintf("%d: %d", status, report.statuses[status]))
	}
	return fmt.Sprintf("%d violations; answers %s", len(report.violations), strings.Join(parts, ", "))
}

// Run runs one seed; it returns an error only if the fleet did not start or did not begin to serve.
func Run(ctx context.Context, config Config) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleet, err := newFleet(ctx, config)
	if fleet != nil {
		defer fleet.starter.StopAll()
	}
	if err != nil {
		return Report{}, err
	}
	random := rand.New(rand.NewPCG(config.Seed, 1))
	probe := newClient("probe", fleet, random, &tally{statuses: map[int]int{}})
	if !fleet.awaitServing(ctx, probe, startTimeout) {
		return Report{}, fmt.Errorf("fleet does not serve within %v: %v", startTimeout, fleet.checker.Violations())
	}
	tally := &tally{statuses: map[int]int{}}
	faults := fleet.injectFaults(ctx, random, tally)
	if !fleet.awaitServing(ctx, probe, recoveryTimeout) {
		fleet.checker.Report("RECOVER: %v after the last fault some daemons do not serve all requests", recoveryTimeout)
	} else {
		fleet.checkConfiguration(ctx, probe)
	}
	fleet.checkProcesses()
	report := Report{statuses: tally.statuses, violations: fleet.checker.Violations()}
	for _, fault := range faults {
		report.faults = append(report.faults, fault.String())
	}
	return report, nil
}

// injectFaults runs clients and injects faults until the last fault is over.
func (fleet *fleet) injectFaults(ctx context.Context, random *rand.Rand, tally *tally) []fault {
	injector := newInjector(fleet)
	faults := injector.drawFaults(random, fleet.config.Faults, faultWindow)
	faults = append(faults, injector.drawTroubles(rand.New(rand.NewPCG(fleet.config.Seed, troubleStream)), fleet.config.Faults/4, faultWindow)...)
	faults = append(faults, injector.drawSilences(rand.New(rand.NewPCG(fleet.config.Seed, silenceStream)), fleet.config.Faults/4, faultWindow)...)
	faults = append(faults, injector.drawDrills(rand.New(rand.NewPCG(fleet.config.Seed, drillStream)), fleet.config.Drills, faultWindow)...)
	clientCtx, stop := context.WithCancel(ctx)
	var clients, running sync.WaitGroup
	for number := range clientCount {
		client := newClient(fmt.Sprint("c", number), fleet, rand.New(rand.NewPCG(fleet.config.Seed, uint64(number+2))), tally)
		clients.Go(func() { client.run(clientCtx) })
	}
	for _, fault := range faults {
		running.Go(func() {
			pause(ctx, fault.at)
			fault.run(ctx, fault)
		})
	}
	running.Wait()
	stop()
	clients.Wait()
	return faults
}

// awaitServing waits until every daemon serves unsharded requests and sharded ones with keys across the whole range.
func (fleet *fleet) awaitServing(ctx context.Context, probe *client, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, 200*time.Millisecond) {
		if fleet.serves(ctx, probe) {
			return true
		}
	}
	return false
}

// serves sends each daemon idempotent requests of both services and reports whether all are answered.
func (fleet *fleet) serves(ctx context.Context, probe *client) bool {
	for number, member := range fleet.members {
		if probe.send(ctx, member, requestKinds[0], 0) != http.StatusOK {
			return false
		}
		// The keys are spread over the whole range and differ between daemons.
		for key := number * 512; key < keyCount; key += keyCount / 8 {
			if probe.send(ctx, member, requestKinds[2], key) != http.StatusOK {
				return false
			}
		}
	}
	return true
}

// checkConfiguration publishes another configuration after all faults and checks that every daemon applies it in time.
func (fleet *fleet) checkConfiguration(ctx context.Context, probe *client) {
	oldRoute := requestKind{method: http.MethodGet, path: fmt.Sprintf("/new-%d/", fleet.version), service: plainService, idempotent: true}
	if err := fleet.publish(); err != nil {
		fleet.checker.Report("STORE: %v", err)
		return
	}
	pause(ctx, configurationTimeout)
	newRoute := requestKind{method: http.MethodGet, path: fmt.Sprintf("/new-%d/", fleet.version), service: plainService, idempotent: true}
	for _, member := range fleet.members {
		if status := probe.send(ctx, member, oldRoute, 0); status == http.StatusOK {
			fleet.checker.Report("CONFIG: %s serves a removed route %v after the change", member.name, configurationTimeout)
		}
		if status := probe.send(ctx, member, newRoute, 0); status == http.StatusNotFound {
			fleet.checker.Report("CONFIG: %s does not serve a new route %v after the change", member.name, configurationTimeout)
		}
	}
}

// checkProcesses reports daemons that exited on their own.
func (fleet *fleet) checkProcesses() {
	for _, member := range fleet.members {
		if process := member.daemonProcess(); process != nil && process.HasExited() {
			fleet.checker.Report("ENDED: %s exited on its own", member.name)
		}
	}
}
