package player

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
	// startTerm bounds the start of the whole fleet.
	startTerm = 20 * time.Second
	// faultTerm is the time in which faults begin.
	faultTerm = 12 * time.Second
	// recoverTerm bounds the time after the last fault until everything is served again, as the users ask.
	recoverTerm = 15 * time.Second
	// applyTerm bounds the time until a configuration is in force everywhere, as the users ask.
	applyTerm = 2 * time.Second
	// clients is the number of clients.
	clients = 12
)

// Config holds what a play is built from.
type Config struct {
	// Seed decides the faults and the requests.
	Seed uint64
	// Binaries is the folder of the programs and Logs the one for what the daemons write.
	Binaries, Logs string
	// Daemons is the size of the fleet and Faults the number of faults.
	Daemons, Faults int
}

// Report is what a play has shown.
type Report struct {
	statuses   map[int]int
	faults     []string
	violations []string
}

// Violations returns the promises that were broken.
func (report Report) Violations() []string { return report.violations }

// Faults returns the faults in the order in which they were drawn.
func (report Report) Faults() []string { return report.faults }

// String sums the play up.
func (report Report) String() string {
	var parts []string
	for _, status := range slices.Sorted(maps.Keys(report.statuses)) {
		parts = append(parts, fmt.Sprintf("%d: %d", status, report.statuses[status]))
	}
	return fmt.Sprintf("%d violations; answers %s", len(report.violations), strings.Join(parts, ", "))
}

// Play plays one seed; it fails only if the fleet could not be built.
func Play(ctx context.Context, config Config) (Report, error) {
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
	if !fleet.await(ctx, probe, startTerm) {
		return Report{}, fmt.Errorf("the fleet does not serve within %v: %v", startTerm, fleet.judge.Violations())
	}
	tally := &tally{statuses: map[int]int{}}
	faults := fleet.disturb(ctx, random, tally)
	if !fleet.await(ctx, probe, recoverTerm) {
		fleet.judge.Report("RECOVER: %v after the last fault some keys or daemons do not serve", recoverTerm)
	} else {
		fleet.checkConfiguration(ctx, probe)
	}
	fleet.checkProcesses()
	report := Report{statuses: tally.statuses, violations: fleet.judge.Violations()}
	for _, fault := range faults {
		report.faults = append(report.faults, fault.String())
	}
	return report, nil
}

// disturb lets clients send and faults happen until the last fault is over.
func (fleet *fleet) disturb(ctx context.Context, random *rand.Rand, tally *tally) []fault {
	injector := newInjector(fleet)
	faults := injector.draw(random, fleet.config.Faults, faultTerm)
	sending, stop := context.WithCancel(ctx)
	var senders, running sync.WaitGroup
	for number := range clients {
		client := newClient(fmt.Sprint("c", number), fleet, rand.New(rand.NewPCG(fleet.config.Seed, uint64(number+2))), tally)
		senders.Go(func() { client.run(sending) })
	}
	for _, fault := range faults {
		running.Go(func() {
			pause(ctx, fault.at)
			fault.run(ctx, fault)
		})
	}
	running.Wait()
	stop()
	senders.Wait()
	return faults
}

// await waits until every daemon serves plain requests and the fleet serves keys all over the range.
func (fleet *fleet) await(ctx context.Context, probe *client, term time.Duration) bool {
	for end := time.Now().Add(term); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, 200*time.Millisecond) {
		if fleet.serves(ctx, probe) {
			return true
		}
	}
	return false
}

func (fleet *fleet) serves(ctx context.Context, probe *client) bool {
	for number, member := range fleet.members {
		if probe.send(ctx, member, kinds[0], 0) != http.StatusOK {
			return false
		}
		for key := number * 512; key < keys; key += keys / 8 {
			if probe.send(ctx, member, kinds[2], key) != http.StatusOK {
				return false
			}
		}
	}
	return true
}

// checkConfiguration publishes once more in the calm at the end.
func (fleet *fleet) checkConfiguration(ctx context.Context, probe *client) {
	old := kind{method: http.MethodGet, path: fmt.Sprintf("/new-%d/", fleet.version), service: servicePlain, idempotent: true}
	if err := fleet.publish(); err != nil {
		fleet.judge.Report("STORE: %v", err)
		return
	}
	pause(ctx, applyTerm)
	fresh := kind{method: http.MethodGet, path: fmt.Sprintf("/new-%d/", fleet.version), service: servicePlain, idempotent: true}
	for _, member := range fleet.members {
		if status := probe.send(ctx, member, old, 0); status == http.StatusOK {
			fleet.judge.Report("CONFIG: %s serves a dropped route %v after the change", member.name, applyTerm)
		}
		if status := probe.send(ctx, member, fresh, 0); status == http.StatusNotFound {
			fleet.judge.Report("CONFIG: %s does not know a new route %v after the change", member.name, applyTerm)
		}
	}
}

// checkProcesses finds daemons that ended by themselves.
func (fleet *fleet) checkProcesses() {
	for _, member := range fleet.members {
		if process := member.running(); process != nil && process.HasExited() {
			fleet.judge.Report("ENDED: %s ended by itself", member.name)
		}
	}
}
