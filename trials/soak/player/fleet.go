package player

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
	"lagoonlanding.example/soak/drawer"
	"lagoonlanding.example/soak/timer"
)

// Config holds what a Fleet starts with.
type Config struct {
	// Seed chooses the shape of the fleet and the chances of its network.
	Seed uint64
	// Note is told what happens, nil for nobody.
	Note func(line string)
}

// Fleet is a number of daemons with all that surrounds them, in one thread.
type Fleet struct {
	config      Config
	timer       *timer.Timer
	random      *rand.Rand
	shape       shape
	network     *network
	store       *store
	checker     *checker.Checker
	processes   []*Process
	incarnation uint64
	// running is the job whose traffic code runs now.
	running    *job
	fences     map[lagoonlanding.ShardID]uint64
	operations []*operation
	requests   int
	// traps wait for layouts that take shards from members.
	traps []trap
	// aimed counts the operations that were drawn to meet one shard.
	aimed  int
	counts map[string]int
	digest hash.Hash
}

// The terms of a run besides its events.
const (
	warmTerm = 5 * time.Second
	// quietTerm outlasts every fault that is still under way at the last event.
	quietTerm = 21 * time.Second
	// HealTerm is how long after the end of all faults and the restart of all daemons every shard must be served.
	HealTerm = 6 * time.Second
	// probeTerm is how long a caller waits for the answer to a request that must be answered.
	probeTerm = time.Second
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// New returns a fleet whose daemons have just started and whose store holds the first published set.
func New(config Config) *Fleet {
	fleet := &Fleet{
		config: config, timer: timer.New(), random: rand.New(rand.NewPCG(config.Seed, 2)),
		fences: make(map[lagoonlanding.ShardID]uint64), counts: make(map[string]int), digest: sha256.New(),
	}
	fleet.shape = newShape(fleet.random)
	fleet.network = newNetwork(fleet, rand.New(rand.NewPCG(config.Seed, 3)))
	fleet.store = newStore(fleet, fleet.shape.slots[0])
	fleet.checker = checker.New(checker.Config{Now: fleet.timer.Now})
	fleet.processes = make([]*Process, len(fleet.shape.slots))
	fleet.publish(nil)
	for _, slot := range fleet.shape.slots {
		fleet.start(slot)
	}
	return fleet
}

// Report is what a run has shown.
type Report struct {
	// Digest is the hash of the whole trace.
	Digest string
	// Steps is the number of events that were played.
	Steps int
	// Counts are what happened, by kind.
	Counts map[string]int
	// Violations are the broken promises.
	Violations []checker.Violation
}

// Play lets the events happen, ends all faults, and expects every shard to be served again.
func (fleet *Fleet) Play(events []drawer.Event) (report Report) {
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
	fleet.advance(warmTerm)
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

// advance lets time pass and checks the rights of the whole fleet on the way.
func (fleet *Fleet) advance(term time.Duration) {
	for term > 0 {
		part := min(term, checkInterval)
		fleet.timer.Advance(part)
		term -= part
		fleet.check()
	}
}

func (fleet *Fleet) check() {
	var rights []checker.ShardLease
	for _, process := range fleet.processes {
		if process == nil {
			continue
		}
		for id, group := range process.snapshot.Groups() {
			holding, ok := process.snapshot.Holding(id)
			if !ok || !process.clock.Now().Before(holding.Deadline()) {
				continue
			}
			fleet.checker.RecordLease(id, process.id, holding.Version())
			for shard := range group.Placement().Shards() {
				if right, ok := process.right(id, shard); ok {
					rights = append(rights, right)
				}
			}
		}
	}
	fleet.checker.CheckLeases(rights)
}

// checkOutdated checks the rights that a process holds under a layout that is no longer the newest.
func (fleet *Fleet) checkOutdated(process *Process) {
	for id, group := range process.snapshot.Groups() {
		holding, ok := process.snapshot.Holding(id)
		if !ok || holding.Version() >= fleet.checker.Newest(id) || !process.clock.Now().Before(holding.Deadline()) {
			continue
		}
		fleet.checker.RecordLease(id, process.id, holding.Version())
		for shard := range group.Placement().Shards() {
			right, ok := process.right(id, shard)
			if !ok {
				continue
			}
			fence := lagoonlanding.NewFence(id, shard, holding.Token(shard))
			fleet.checker.CheckLeases(append(fleet.rights(fence, process), right))
		}
	}
}

// heal waits until all faults are over, starts all daemons, takes all zones back and sends a request to each shard.
func (fleet *Fleet) heal() {
	fleet.advance(quietTerm)
	fleet.note("heal")
	for _, slot := range fleet.shape.slots {
		if fleet.processes[slot.number] == nil {
			fleet.start(slot)
		}
	}
	fleet.publish(nil)
	fleet.advance(HealTerm)
	for _, process := range fleet.processes {
		if process != nil {
			fleet.note("healed: %s knows revision %d, blind %v", process.id, process.snapshot.Revision(), process.controller.IsBlind())
		}
	}
	fleet.probe()
	fleet.advance(probeTerm + longestWait)
}

// publish writes a set with the zones that are out at once.
func (fleet *Fleet) publish(out map[string]bool) {
	version, revision := fleet.published()
	value, _ := setCodec{shape: fleet.shape}.Encode(fleet.shape.set(version+1, out))
	if _, err := fleet.store.table.Swap(lagoonlanding.SetKey, revision, value); err == nil {
		fleet.store.wrote(lagoonlanding.SetKey)
	}
}

func (fleet *Fleet) published() (version, revision uint64) {
	entry, err := fleet.store.table.Get(lagoonlanding.SetKey)
	if err != nil {
		return 0, 0
	}
	set, err := setCodec{shape: fleet.shape}.Decode(entry)
	if err != nil {
		return 0, 0
	}
	return set.Version(), entry.Revision()
}

// listening returns the process that holds the instance's address, nil if none does.
func (fleet *Fleet) listening(to lagoonlanding.Instance) *Process {
	for _, slot := range fleet.shape.slots {
		if slot.address == to.PeerAddress() {
			return fleet.processes[slot.number]
		}
	}
	return nil
}

func (fleet *Fleet) placeOf(instance lagoonlanding.Instance) place {
	for _, slot := range fleet.shape.slots {
		if slot.address == instance.PeerAddress() {
			return place{slot: slot.number, zone: slot.zone, region: slot.region}
		}
	}
	panic(fmt.Sprintf("no slot has the address of %s", instance.ID()))
}

const (
	// largestDrift is half of the bound between two clocks, in millionths.
	largestDrift = lagoonlanding.DriftPermille * 1000 / 2
	// largestSkew is half of the bound between two wall clocks, less what a clock drifts before it is set right.
	largestSkew = deduplicator.SkewBound/2 - time.Second
)

func (fleet *Fleet) newClock() *timer.Clock {
	skew := time.Duration(fleet.random.Int64N(int64(2*largestSkew))) - largestSkew
	clock := timer.NewClock(fleet.timer, epoch.Add(fleet.timer.Now()+skew))
	clock.SetDrift(fleet.drawDrift(fleet.random.IntN(largestDrift * 2)))
	return clock
}

func (fleet *Fleet) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(fleet.random.Uint64(), fleet.random.Uint64()))
}

// holdSkew turns the drift of a clock that has drifted too far, as the setting of wall clocks does in the long run.
func (fleet *Fleet) holdSkew(clock *timer.Clock) {
	skew := clock.Now().Sub(epoch.Add(fleet.timer.Now()))
	switch {
	case skew > largestSkew:
		clock.SetDrift(-largestDrift)
	case skew < -largestSkew:
		clock.SetDrift(largestDrift)
	}
}

// drawDrift prefers the extremes.
func (fleet *Fleet) drawDrift(number int) int {
	switch number % 4 {
	case 0:
		return -largestDrift
	case 1:
		return largestDrift
	}
	return number%(2*largestDrift+1) - largestDrift
}

// note adds a line to the trace.
func (fleet *Fleet) note(format string, arguments ...any) {
	line := fmt.Sprintf("%9.4f "+format, append([]any{fleet.timer.Now().Seconds()}, arguments...)...)
	_, _ = fleet.digest.Write([]byte(line))
	if fleet.config.Note != nil {
		fleet.config.Note(line)
	}
}
