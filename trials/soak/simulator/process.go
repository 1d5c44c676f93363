package simulator

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/ownership/controller"
	"lagoonlanding.example/lagoonlanding/ownership/placer"
	"lagoonlanding.example/lagoonlanding/requests/deduplicator"
	"lagoonlanding.example/lagoonlanding/requests/dispatcher"
	"lagoonlanding.example/lagoonlanding/requests/picker"
	"lagoonlanding.example/lagoonlanding/requests/quarantiner"
	"lagoonlanding.example/lagoonlanding/requests/router"
	"lagoonlanding.example/soak/timer"
)

// Process is one incarnation of a daemon in a slot.
type Process struct {
	fleet       *Fleet
	slot        slot
	id          lagoonlanding.InstanceID
	clock       *timer.Clock
	controller  *controller.Controller
	dispatcher  *dispatcher.Dispatcher
	snapshot    *router.Snapshot
	changed     chan struct{}
	jobs        map[*job]bool
	terminated  bool
	leaving     bool
	freezeCount int
	// updateBlocks counts the active blocks of updates that other daemons forward from the store.
	updateBlocks int
	// pendingCalls holds the calls that arrived while the process was frozen.
	pendingCalls []func()
	tickPending  bool
}

// startProcess starts a new incarnation without state in the slot.
func (fleet *Fleet) startProcess(slot slot) *Process {
	fleet.incarnation++
	id := lagoonlanding.NewInstanceID(slot.name, fleet.incarnation)
	clock := fleet.newClock()
	process := &Process{
		fleet: fleet, slot: slot, id: id, clock: clock, jobs: make(map[*job]bool), changed: make(chan struct{}),
	}
	process.controller = controller.New(controller.Config{
		Self: lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{
			ID: id, PeerAddress: slot.address, CallerAddress: slot.address, AvailabilityZone: slot.zone, Region: slot.region,
		}),
		Now: clock.Now(), Placer: placer.NewRendezvous(), Records: encoder.Records{}, Sets: setCodec{topology: fleet.topology},
	})
	process.snapshot = process.controller.Snapshot()
	process.dispatcher = dispatcher.New(dispatcher.Config{
		Snapshots: process, Clock: clock, Peers: peers{fleet: fleet}, Upstream: upstream{process: process},
		Ledger:     deduplicator.NewLedger(deduplicator.Config{}),
		Quarantine: quarantiner.NewQuarantine(quarantiner.Config{Random: fleet.newRandom()}),
		Picker: func(self lagoonlanding.Instance, service publisher.Service) lagoonlanding.Picker {
			return picker.NewLeastTime(picker.LeastTimeConfig{Self: self, Slots: service.Slots(), Choices: 4, Random: fleet.newRandom()})
		},
	})
	fleet.processes[slot.number] = process
	fleet.trace("start %s", id)
	process.tick()
	fleet.timer.AfterFunc(announceDelay, func() {
		process.runControl(func(now time.Time) { process.controller.Announce(now, slot.service) })
	})
	return process
}

// announceDelay is the time until a backend server announces itself after the start of its daemon.
const announceDelay = 30 * time.Millisecond

// Current returns the newest snapshot.
func (process *Process) Current() *router.Snapshot { return process.snapshot }

// Changed returns a channel that is never closed, because nothing waits for it in the simulation.
func (process *Process) Changed() <-chan struct{} { return process.changed }

func (process *Process) endpoint() endpoint {
	return endpoint{slot: process.slot.number, zone: process.slot.zone, region: process.slot.region}
}

// runControl runs a handler of the control thread, after the thaw if the process is frozen.
func (process *Process) runControl(handle func(now time.Time)) {
	process.runWhenThawed(func() {
		handle(process.clock.Now())
		process.flush()
	})
}

// runWhenThawed runs a function of any thread, after the thaw if the process is frozen, never if it has terminated.
func (process *Process) runWhenThawed(run func()) {
	switch {
	case process.terminated:
	case process.freezeCount > 0:
		process.pendingCalls = append(process.pendingCalls, run)
	default:
		run()
	}
}

// tick calls the control state periodically; a frozen process receives one late tick.
func (process *Process) tick() {
	if process.terminated {
		return
	}
	process.fleet.limitSkew(process.clock)
	if !process.tickPending {
		process.tickPending = true
		process.runControl(func(now time.Time) {
			process.tickPending = false
			process.controller.Tick(now)
			process.finishLeaving()
		})
	}
	process.fleet.timer.AfterFunc(controller.TickInterval, process.tick)
}

func (process *Process) freeze(duration time.Duration) {
	process.freezeCount++
	process.fleet.timer.AfterFunc(duration, process.thaw)
}

// thaw resumes the process with its state unchanged; pending calls run in random order, as threads are scheduled in any order.
func (process *Process) thaw() {
	if process.freezeCount--; process.freezeCount > 0 || process.terminated {
		return
	}
	pending := process.pendingCalls
	process.pendingCalls = nil
	process.fleet.random.Shuffle(len(pending), func(i, j int) { pending[i], pending[j] = pending[j], pending[i] })
	for _, run := range pending {
		process.runWhenThawed(run)
	}
}

// kill terminates the process; its backend server continues its running requests.
func (process *Process) kill() {
	if process.terminated {
		return
	}
	process.fleet.trace("end %s", process.id)
	process.terminated = true
	for job := range process.jobs {
		job.cancel()
	}
	process.fleet.processes[process.slot.number] = nil
}

func (process *Process) startLeaving() {
	if !process.leaving {
		process.leaving = true
		process.fleet.timer.AfterFunc(leaveTimeout, process.kill)
		process.runControl(func(now time.Time) { process.controller.Leave(now) })
	}
}

// leaveTimeout is the time after which a daemon that cannot leave its groups is terminated.
const leaveTimeout = 20 * time.Second

// finishLeaving terminates a leaving daemon once it has left all groups and has no running requests.
func (process *Process) finishLeaving() {
	if process.leaving && process.controller.HasLeft() && len(process.jobs) == 0 {
		process.fleet.counts["left"]++
		process.fleet.timer.AfterFunc(0, process.kill)
	}
}
