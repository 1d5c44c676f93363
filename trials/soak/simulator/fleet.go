package simulator

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/deduplicator"
	"lagoonlanding.example/soak/checker"
	"lagoonlanding.example/soak/generator"
	"lagoonlanding.example/soak/timer"
)

// Config holds the configuration of a Fleet.
type Config struct {
	// Seed seeds the topology of the fleet, the randomness of its network and all other random choices, but not the events.
	Seed uint64
	// Trace receives one line per traced event; it may be nil.
	Trace func(line string)
}

// Fleet is a simulated fleet of daemons with their network, store, backend servers and callers, in one thread.
type Fleet struct {
	config      Config
	timer       *timer.Timer
	random      *rand.Rand
	topology    topology
	network     *network
	store       *store
	checker     *checker.Checker
	processes   []*Process
	incarnation uint64
	// runningJob is the job whose traffic code is executing.
	runningJob   *job
	newestTokens map[lagoonlanding.ShardID]uint64
	operations   []*operation
	requestCount int
	// traps holds the pending trap for a member that loses a shard, if there is one.
	traps []trap
	// targetedCount counts the keys that were generated to hit a given shard.
	targetedCount int
	counts        map[string]int
	digest        hash.Hash
}

// The phases of a run before and after its events.
const (
	warmUpDuration = 5 * time.Second
	// quietDuration is longer than any fault that is still in effect at the last event.
	quietDuration = 21 * time.Second
	// healDuration is the time after the end of all faults and the restart of all daemons within which every shard must be served.
	healDuration = 6 * time.Second
	// probeTimeout is how long a caller retries a request that must be answered.
	probeTimeout = time.Second
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// New returns a fleet whose daemons have just started and whose store holds the first published set.
func New(config Config) *Fleet {
	fleet := &Fleet{
		config: config, timer: timer.New(), random: rand.New(rand.NewPCG(config.Seed, 2)),
		newestTokens: make(map[lagoonlanding.ShardID]uint64), counts: make(map[string]int), digest: sha256.New(),
	}
	fleet.topology = newTopology(fleet.random)
	fleet.network = newNetwork(fleet, rand.New(rand.NewPCG(config.Seed, 3)))
	fleet.store = newStore(fleet, fleet.topology.slots[0])
	fleet.checker = checker.New(checker.Config{Now: fleet.timer.Now})
	fleet.processes = make([]*Process, len(fleet.topology.slots))
	fleet.publish(nil)
	for _, slot := range fleet.topology.slots {
		fleet.startProcess(slot)
	}
	return fleet
}

// Report is the result of a run.
type Report struct {
	// Digest is the hash of the complete trace.
	Digest string
	// Steps is the number of events that were applied.
	Steps int
	// Counts holds the number of occurrences by kind of event or reply.
	Counts map[string]int
	// Violations are the broken guarantees.
	Violations []checker.Violation
}

// Run applies the events until the first violation, then ends all faults and checks that every shard is served again.
func (fleet *Fleet) Run(events []generator.Event) (report Report) {
	defer func() {
		for _, process := range fleet.processes {
			if process != nil {
				process.kill()
			}
		}
		report.Digest = hex.EncodeToString(fleet.digest.Sum(nil)[:8])
		report.Counts = fleet.counts
		report.Violations = fleet.checker.Violations()
	}()
	defer func() {
		if reason := recover(); reason != nil {
			fleet.checker.ReportViolation(checker.RuleInvariant, "%v", reason)
		}
	}()
	fleet.advance(warmUpDuration)
	for _, event := range events {
		fleet.advance(event.Delay())
		fleet.apply(event)
		report.Steps++
		if len(fleet.checker.Violations()) > 0 {
			return report
		}
	}
	fleet.heal()
	return report
}

const checkInterval = 20 * time.Millisecond

// advance moves the simulated time forward and periodically checks the leases of the whole fleet.
func (fleet *Fleet) advance(duration time.Duration) {
	for duration > 0 {
		step := min(duration, checkInterval)
		fleet.timer.Advance(step)
		duration -= step
		fleet.checkLeases()
	}
}

func (fleet *Fleet) checkLeases() {
	var leases []checker.ShardLease
	for _, process := range fleet.processes {
		if process == nil {
			continue
		}
		for id, group := range process.snapshot.Groups() {
			lease, ok := process.snapshot.Lease(id)
			if !ok || !process.clock.Now().Before(lease.Deadline()) {
				continue
			}
			fleet.checker.RecordLease(id, process.id, lease.Version())
			for shard := range group.Placement().Shards() {
				if shardlease, ok := process.shardLease(id, shard); ok {
					leases = append(leases, shardlease)
				}
			}
		}
	}
	fleet.checker.CheckLeases(leases)
}

// checkOutdatedLeases checks the leases that a process holds under a layout that is no longer the newest.
func (fleet *Fleet) checkOutdatedLeases(process *Process) {
	for id, group := range process.snapshot.Groups() {
		lease, ok := process.snapshot.Lease(id)
		if !ok || lease.Version() >= fleet.checker.NewestLayout(id) || !process.clock.Now().Before(lease.Deadline()) {
			continue
		}
		fleet.checker.RecordLease(id, process.id, lease.Version())
		for shard := range group.Placement().Shards() {
			shardlease, ok := process.shardLease(id, shard)
			if !ok {
				continue
			}
			fence := lagoonlanding.NewFence(id, shard, lease.Token(shard))
			fleet.checker.CheckLeases(append(fleet.otherLeases(fence, process), shardlease))
		}
	}
}

// heal waits until all faults are over, starts all daemons, returns all zones to service and sends a request to each shard.
func (fleet *Fleet) heal() {
	fleet.advance(quietDuration)
	fleet.trace("heal")
	for _, slot := range fleet.topology.slots {
		if fleet.processes[slot.number] == nil {
			fleet.startProcess(slot)
		}
	}
	fleet.publish(nil)
	fleet.advance(healDuration)
	for _, process := range fleet.processes {
		if process != nil {
			fleet.trace("healed: %s knows revision %d, blind %v", process.id, process.snapshot.Revision(), process.controller.IsDisconnected())
		}
	}
	fleet.probe()
	fleet.advance(probeTimeout + requestTimeout)
}

// publish immediately writes a set with the given zones out of service.
func (fleet *Fleet) publish(out map[string]bool) {
	version, revision := fleet.publishedVersion()
	value, _ := setCodec{topology: fleet.topology}.Encode(fleet.topology.set(version+1, out))
	if _, err := fleet.store.table.CompareAndSwap(lagoonlanding.SetKey, revision, value); err == nil {
		fleet.store.onWrite(lagoonlanding.SetKey)
	}
}

func (fleet *Fleet) publishedVersion() (version, revision uint64) {
	entry, err := fleet.store.table.Get(lagoonlanding.SetKey)
	if err != nil {
		return 0, 0
	}
	set, err := setCodec{topology: fleet.topology}.Decode(entry)
	if err != nil {
		return 0, 0
	}
	return set.Version(), entry.Revision()
}

// processAt returns the process that listens at the instance's address, nil if there is none.
func (fleet *Fleet) processAt(to lagoonlanding.Instance) *Process {
	for _, slot := range fleet.topology.slots {
		if slot.address == to.PeerAddress() {
			return fleet.processes[slot.number]
		}
	}
	return nil
}

func (fleet *Fleet) endpointOf(instance lagoonlanding.Instance) endpoint {
	for _, slot := range fleet.topology.slots {
		if slot.address == instance.PeerAddress() {
			return endpoint{slot: slot.number, zone: slot.zone, region: slot.region}
		}
	}
	panic(fmt.Sprintf("no slot has the address of %s", instance.ID()))
}

const (
	// maxDriftPPM is half of the maximum drift between two clocks.
	maxDriftPPM = lagoonlanding.DriftPermille * 1000 / 2
	// maxSkew is half of the maximum skew between two wall clocks, less a margin for the drift before a clock is corrected.
	maxSkew = deduplicator.MaxClockSkew/2 - time.Second
)

func (fleet *Fleet) newClock() *timer.Clock {
	skew := time.Duration(fleet.random.Int64N(int64(2*maxSkew))) - maxSkew
	clock := timer.NewClock(fleet.timer, epoch.Add(fleet.timer.Now()+skew))
	clock.SetDrift(fleet.driftFor(fleet.random.IntN(maxDriftPPM * 2)))
	return clock
}

func (fleet *Fleet) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(fleet.random.Uint64(), fleet.random.Uint64()))
}

// limitSkew reverses the drift of a clock whose skew is too large, as time synchronization does in the long run.
func (fleet *Fleet) limitSkew(clock *timer.Clock) {
	skew := clock.Now().Sub(epoch.Add(fleet.timer.Now()))
	switch {
	case skew > maxSkew:
		clock.SetDrift(-maxDriftPPM)
	case skew < -maxSkew:
		clock.SetDrift(maxDriftPPM)
	}
}

// driftFor maps a random number to a drift; half of all numbers give one of the two extremes.
func (fleet *Fleet) driftFor(number int) int {
	switch number % 4 {
	case 0:
		return -maxDriftPPM
	case 1:
		return maxDriftPPM
	}
	return number%(2*maxDriftPPM+1) - maxDriftPPM
}

// trace adds a line to the trace and its digest.
func (fleet *Fleet) trace(format string, arguments ...any) {
	line := fmt.Sprintf("%9.4f "+format, append([]any{fleet.timer.Now().Seconds()}, arguments...)...)
	_, _ = fleet.digest.Write([]byte(line))
	if fleet.config.Trace != nil {
		fleet.config.Trace(line)
	}
}
