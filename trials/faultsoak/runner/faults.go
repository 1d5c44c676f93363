package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding/platform/simulator"
)

// fault is one fault of a run.
type fault struct {
	name     string
	at       time.Duration
	duration time.Duration
	targets  []*member
	run      func(ctx context.Context, fault fault)
}

// String formats the fault for the report of a run.
func (fault fault) String() string {
	text := fmt.Sprintf("%6.2f s, for %4.1f s: %s", fault.at.Seconds(), fault.duration.Seconds(), fault.name)
	for _, member := range fault.targets {
		text += " " + member.name
	}
	return text
}

// link is a direction between two processes in which bytes can be held back.
type link struct{ from, to string }

// injector injects faults into a fleet.
type injector struct {
	fleet *fleet

	mutex  sync.Mutex
	cuts   map[link]int
	delays map[string]time.Duration
	// operator serializes the writes of evacuations; evacuations counts the faults that evacuate a zone, by key.
	operator    sync.Mutex
	evacuations map[string]int
}

func newInjector(fleet *fleet) *injector {
	injector := &injector{fleet: fleet, cuts: map[link]int{}, delays: map[string]time.Duration{}, evacuations: map[string]int{}}
	fleet.network.Cut(injector.isCut)
	fleet.network.SetDelay(injector.delay)
	return injector
}

// anyProcess matches every process in a link.
const anyProcess = "*"

func (injector *injector) isCut(from, to string) bool {
	injector.mutex.Lock()
	defer injector.mutex.Unlock()
	return injector.cuts[link{from, to}]+injector.cuts[link{from, anyProcess}]+injector.cuts[link{anyProcess, to}] > 0
}

func (injector *injector) delay(from, to string) time.Duration {
	injector.mutex.Lock()
	defer injector.mutex.Unlock()
	return injector.delays[from] + injector.delays[to]
}

// change updates the cuts or delays, and makes the network evaluate them again.
func (injector *injector) change(change func()) {
	injector.mutex.Lock()
	change()
	injector.mutex.Unlock()
	injector.fleet.network.Cut(injector.isCut)
}

// cut returns the run function of a fault that holds back the bytes of the links for its duration.
func (injector *injector) cut(links ...link) func(ctx context.Context, fault fault) {
	return func(ctx context.Context, fault fault) {
		injector.change(func() {
			for _, link := range links {
				injector.cuts[link]++
			}
		})
		pause(ctx, fault.duration)
		injector.change(func() {
			for _, link := range links {
				injector.cuts[link]--
			}
		})
	}
}

func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// restart returns the run function of a fault that terminates the daemons with the given function and starts them again after its duration.
func (injector *injector) restart(end func(member *member)) func(ctx context.Context, fault fault) {
	return func(ctx context.Context, fault fault) {
		var all sync.WaitGroup
		for _, member := range fault.targets {
			all.Go(func() {
				if !member.acquire() {
					return
				}
				defer member.release()
				end(member)
				pause(ctx, fault.duration)
				if err := injector.fleet.start(member); err != nil {
					injector.fleet.checker.Report("START: %v", err)
				}
			})
		}
		all.Wait()
	}
}

// freeze suspends a daemon and resumes it with its state unchanged.
func (injector *injector) freeze(ctx context.Context, fault fault) {
	member := fault.targets[0]
	if !member.acquire() {
		return
	}
	defer member.release()
	process := member.daemonProcess()
	process.Freeze()
	pause(ctx, fault.duration)
	process.Thaw()
}

// crashServers crashes backend servers and starts them again.
func (injector *injector) crashServers(ctx context.Context, fault fault) {
	for _, member := range fault.targets {
		member.server.Crash()
	}
	pause(ctx, fault.duration)
	for _, member := range fault.targets {
		injector.startServer(ctx, member)
	}
}

// drainServer shuts a backend server down as planned and starts it again.
func (injector *injector) drainServer(ctx context.Context, fault fault) {
	fault.targets[0].server.Drain()
	pause(ctx, 3*time.Second)
	fault.targets[0].server.Crash()
	pause(ctx, fault.duration)
	injector.startServer(ctx, fault.targets[0])
}

// startServer starts a backend server again after a fault.
func (injector *injector) startServer(ctx context.Context, member *member) {
	if err := member.server.Start(context.WithoutCancel(ctx)); err != nil {
		// Another fault has already started it.
		return
	}
}

// storeFault returns the run function of a fault of the store.
func (injector *injector) storeFault(kind simulator.StoreFault) func(ctx context.Context, fault fault) {
	return func(ctx context.Context, fault fault) {
		injector.fleet.store.SetFault(kind)
		pause(ctx, fault.duration)
		injector.fleet.store.SetFault(simulator.StoreWorks)
	}
}

// drawFaults returns random faults; some follow the previous one within a short time on the same daemon.
func (injector *injector) drawFaults(random *rand.Rand, count int, window time.Duration) []fault {
	var faults []fault
	at, member := time.Duration(0), injector.fleet.members[0]
	for range count {
		if random.IntN(3) > 0 || len(faults) == 0 {
			at = time.Duration(random.Int64N(int64(window)))
			member = injector.fleet.members[random.IntN(len(injector.fleet.members))]
		} else {
			at += time.Duration(random.Int64N(int64(400 * time.Millisecond)))
		}
		drawn := injector.randomFault(random, member)
		drawn.at = at
		faults = append(faults, drawn)
	}
	return faults
}

// randomFault returns a fault of a random kind and duration.
func (injector *injector) randomFault(random *rand.Rand, target *member) fault {
	members := injector.fleet.members
	other := members[random.IntN(len(members))]
	server, name := target.server.Name(), target.name
	single, pair := []*member{target}, []*member{target, other}
	kill := injector.restart(func(member *member) { member.daemonProcess().Kill() })
	stop := injector.restart(func(member *member) { member.daemonProcess().Stop() })
	half := members[:len(members)/2]
	choices := []fault{
		{name: "kill", targets: single, run: kill},
		{name: "stop", targets: single, run: stop},
		{name: "kill half", targets: half, run: kill},
		{name: "kill all", targets: members, run: kill},
		{name: "freeze", targets: single, run: injector.freeze},
		{name: "crash server", targets: single, run: injector.crashServers},
		{name: "crash servers", targets: half, run: injector.crashServers},
		{name: "drain server", targets: single, run: injector.drainServer},
		{name: "store refuses", run: injector.storeFault(simulator.StoreRefuses)},
		{name: "store resets", run: injector.storeFault(simulator.StoreResets)},
		{name: "store slow", run: injector.storeFault(simulator.StoreSlow)},
		{name: "store loses answers", run: injector.storeFault(simulator.StoreLosesAnswers)},
		{name: "cut from store", targets: single, run: injector.cut(link{name, "store"}, link{"store", name})},
		{name: "store not heard", targets: single, run: injector.cut(link{"store", name})},
		{name: "cut off", targets: single, run: injector.cut(link{name, anyProcess}, link{anyProcess, name})},
		{name: "cut in two", targets: pair, run: injector.cut(link{name, other.name}, link{other.name, name})},
		{name: "not heard by", targets: pair, run: injector.cut(link{name, other.name})},
		{name: "server cut", targets: single, run: injector.cut(link{name, server}, link{server, name})},
		{name: "server's answers cut", targets: single, run: injector.cut(link{server, name})},
		{name: "announcements' answers cut", targets: single, run: injector.cut(link{name, server})},
		{name: "delay", targets: single, run: injector.delayTraffic},
		{name: "reset", targets: single, run: injector.resetConnections},
		{name: "evacuate", targets: single, run: injector.evacuate},
		{name: "publish", run: injector.publish},
	}
	chosen := choices[random.IntN(len(choices))]
	chosen.duration = 200*time.Millisecond + time.Duration(random.Int64N(int64(maxFaultDuration)))
	return chosen
}

// troubleStream is the random stream of the troubles: the other faults of a seed do not depend on them.
const troubleStream = 1 << 32

// drawTroubles returns random backend servers that break the protocol.
func (injector *injector) drawTroubles(random *rand.Rand, count int, window time.Duration) []fault {
	kinds := []struct {
		name    string
		trouble simulator.Trouble
	}{
		{"responses without an end of the head", simulator.EndlessHead}, {"responses without an end of the body", simulator.EndlessBody},
		{"second copies of responses", simulator.SecondCopy}, {"responses that break off", simulator.BrokenOff},
	}
	var faults []fault
	for range count {
		kind := kinds[random.IntN(len(kinds))]
		faults = append(faults, fault{
			name: kind.name, at: time.Duration(random.Int64N(int64(window))), duration: time.Second + time.Duration(random.Int64N(int64(maxFaultDuration/2))),
			targets: []*member{injector.fleet.members[random.IntN(len(injector.fleet.members))]}, run: injector.troubleServer(kind.trouble),
		})
	}
	return faults
}

// troubleServer returns the run function of a fault in which a backend server breaks the protocol.
func (injector *injector) troubleServer(trouble simulator.Trouble) func(ctx context.Context, fault fault) {
	return func(ctx context.Context, fault fault) {
		fault.targets[0].server.SetTrouble(trouble)
		pause(ctx, fault.duration)
		fault.targets[0].server.SetTrouble(simulator.NoTrouble)
	}
}

// maxFaultDuration bounds the random part of the duration of a fault; it is longer than any lease or range assignment.
const maxFaultDuration = 9 * time.Second

// delayTraffic delays all traffic of a daemon.
func (injector *injector) delayTraffic(ctx context.Context, fault fault) {
	const delay = 150 * time.Millisecond
	name := fault.targets[0].name
	injector.change(func() { injector.delays[name] += delay })
	pause(ctx, fault.duration)
	injector.change(func() { injector.delays[name] -= delay })
}

// resetConnections breaks all connections of a daemon.
func (injector *injector) resetConnections(_ context.Context, fault fault) {
	name := fault.targets[0].name
	injector.fleet.network.Reset(func(from, to string) bool { return from == name || to == name })
}

// silenceStream is the random stream of the silent connections: the other faults of a seed do not depend on them.
const silenceStream = 2 << 32

// drawSilences returns random daemons whose open connections go silent while a configuration is published.
func (injector *injector) drawSilences(random *rand.Rand, count int, window time.Duration) []fault {
	var faults []fault
	for range count {
		faults = append(faults, fault{
			name: "silent connections", at: time.Duration(random.Int64N(int64(window))), run: injector.silenceConnections,
			targets: []*member{injector.fleet.members[random.IntN(len(injector.fleet.members))]},
		})
	}
	return faults
}

// silenceConnections makes the open connections of a daemon go silent, and publishes a configuration.
func (injector *injector) silenceConnections(ctx context.Context, fault fault) {
	name := fault.targets[0].name
	if err := injector.fleet.network.Silence(func(from, to string) bool { return from == name || to == name }); err != nil {
		injector.fleet.checker.Report("NETWORK: %v", err)
	}
	injector.publish(ctx, fault)
}

// evacuate evacuates the availability zone of a daemon for the duration of the fault.
func (injector *injector) evacuate(ctx context.Context, fault fault) {
	key := fmt.Sprintf("op/evacuate/z%d", fault.targets[0].zone)
	injector.changeEvacuation(key, 1)
	pause(ctx, fault.duration)
	injector.changeEvacuation(key, -1)
}

func (injector *injector) publish(context.Context, fault) {
	if err := injector.fleet.publish(); err != nil {
		injector.fleet.checker.Report("STORE: %v", err)
	}
}
