package player

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

// Process is one run of a daemon in a slot.
type Process struct {
	fleet      *Fleet
	slot       slot
	id         lagoonlanding.InstanceID
	clock      *timer.Clock
	controller *controller.Controller
	dispatcher *dispatcher.Dispatcher
	snapshot   *router.Snapshot
	changed    chan struct{}
	jobs       map[*job]bool
	dead       bool
	leaving    bool
	frozen     int
	// deaf counts the terms in which news of the store that others send are lost.
	deaf int
	// pending is what arrived while the process was frozen.
	pending []func()
	ticking bool
}

// start begins a run in the slot with a new incarnation that knows nothing.
func (fleet *Fleet) start(slot slot) *Process {
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
		Now: clock.Now(), Placer: placer.NewRendezvous(), Records: encoder.Records{}, Sets: setCodec{shape: fleet.shape},
	})
	process.snapshot = process.controller.Snapshot()
	process.dispatcher = dispatcher.New(dispatcher.Config{
		Snapshots: process, Clock: clock, Peers: peers{fleet: fleet}, Upstream: upstream{process: process},
		Ledger:     deduplicator.NewLedger(deduplicator.Config{}),
		Quarantine: quarantiner.NewQuarantine(quarantiner.Config{Random: fleet.newRandom()}),
		Picker: func(self lagoonlanding.Instance, service publisher.Service) lagoonlanding.Picker {
			return picker.NewLeast(picker.LeastConfig{Self: self, Slots: service.Slots(), Choices: 4, Random: fleet.newRandom()})
		},
	})
	fleet.processes[slot.number] = process
	fleet.note("start %s", id)
	process.tick()
	fleet.timer.AfterFunc(announceDelay, func() {
		process.do(func(now time.Time) { process.controller.Announce(now, slot.service) })
	})
	return process
}

// announceDelay is the time that a backend server takes to announce itself.
const announceDelay = 30 * time.Millisecond

// Current returns the newest snapshot.
func (process *Process) Current() *router.Snapshot { return process.snapshot }

// Changed returns a channel that nobody waits on.
func (process *Process) Changed() <-chan struct{} { return process.changed }

func (process *Process) place() place {
	return place{slot: process.slot.number, zone: process.slot.zone, region: process.slot.region}
}

// do runs a handler of the control thread, after the thaw if the process is frozen.
func (process *Process) do(handle func(now time.Time)) {
	process.enter(func() {
		handle(process.clock.Now())
		process.flush()
	})
}

// enter runs a function of any thread, after the thaw if the process is frozen.
func (process *Process) enter(run func()) {
	switch {
	case process.dead:
	case process.frozen > 0:
		process.pending = append(process.pending, run)
	default:
		run()
	}
}

// tick calls the control state at its interval; a frozen process gets one late tick.
func (process *Process) tick() {
	if process.dead {
		return
	}
	process.fleet.holdSkew(process.clock)
	if !process.ticking {
		process.ticking = true
		process.do(func(now time.Time) {
			process.ticking = false
			process.controller.Tick(now)
			process.tendLeave()
		})
	}
	process.fleet.timer.AfterFunc(controller.TickInterval, process.tick)
}

func (process *Process) freeze(term time.Duration) {
	process.frozen++
	process.fleet.timer.AfterFunc(term, process.thaw)
}

// thaw goes on with what the process knew; what arrived meanwhile is handled in an order of the threads' choice.
func (process *Process) thaw() {
	if process.frozen--; process.frozen > 0 || process.dead {
		return
	}
	pending := process.pending
	process.pending = nil
	process.fleet.random.Shuffle(len(pending), func(i, j int) { pending[i], pending[j] = pending[j], pending[i] })
	for _, run := range pending {
		process.enter(run)
	}
}

// kill ends the process; its backend server goes on with what it runs.
func (process *Process) kill() {
	if process.dead {
		return
	}
	process.fleet.note("end %s", process.id)
	process.dead = true
	for job := range process.jobs {
		job.abandon()
	}
	process.fleet.processes[process.slot.number] = nil
}

func (process *Process) leave() {
	if !process.leaving {
		process.leaving = true
		process.fleet.timer.AfterFunc(leaveTerm, process.kill)
		process.do(func(now time.Time) { process.controller.Leave(now) })
	}
}

// leaveTerm is when a daemon that cannot leave is ended.
const leaveTerm = 20 * time.Second

// tendLeave ends a daemon that has left all groups and has no request left.
func (process *Process) tendLeave() {
	if process.leaving && process.controller.HasLeft() && len(process.jobs) == 0 {
		process.fleet.counts["left"]++
		process.fleet.timer.AfterFunc(0, process.kill)
	}
}
