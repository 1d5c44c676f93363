package player

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding/platform/simulator"
)

// fault is one fault of a play.
type fault struct {
	name string
	at   time.Duration
	term time.Duration
	hit  []*member
	run  func(ctx context.Context, fault fault)
}

// String tells the fault for the report of a play.
func (fault fault) String() string {
	text := fmt.Sprintf("%6.2f s, for %4.1f s: %s", fault.at.Seconds(), fault.term.Seconds(), fault.name)
	for _, member := range fault.hit {
		text += " " + member.name
	}
	return text
}

// way names the direction in which bytes are held.
type way struct{ from, to string }

// injector carries faults out.
type injector struct {
	fleet *fleet

	mutex  sync.Mutex
	cuts   map[way]int
	delays map[string]time.Duration
}

func newInjector(fleet *fleet) *injector {
	made := &injector{fleet: fleet, cuts: map[way]int{}, delays: map[string]time.Duration{}}
	fleet.network.Cut(made.isCut)
	fleet.network.Delay(made.delay)
	return made
}

// anyone stands for every process in a way.
const anyone = "*"

func (injector *injector) isCut(from, to string) bool {
	injector.mutex.Lock()
	defer injector.mutex.Unlock()
	return injector.cuts[way{from, to}]+injector.cuts[way{from, anyone}]+injector.cuts[way{anyone, to}] > 0
}

func (injector *injector) delay(from, to string) time.Duration {
	injector.mutex.Lock()
	defer injector.mutex.Unlock()
	return injector.delays[from] + injector.delays[to]
}

// change alters what holds bytes; the network looks again.
func (injector *injector) change(change func()) {
	injector.mutex.Lock()
	change()
	injector.mutex.Unlock()
	injector.fleet.network.Cut(injector.isCut)
}

// cut holds the bytes of the ways for the term of the fault.
func (injector *injector) cut(ways ...way) func(ctx context.Context, fault fault) {
	return func(ctx context.Context, fault fault) {
		injector.change(func() {
			for _, way := range ways {
				injector.cuts[way]++
			}
		})
		pause(ctx, fault.term)
		injector.change(func() {
			for _, way := range ways {
				injector.cuts[way]--
			}
		})
	}
}

func pause(ctx context.Context, term time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(term):
	}
}

// restart ends the daemons by the given means and starts them again.
func (injector *injector) restart(end func(member *member)) func(ctx context.Context, fault fault) {
	return func(ctx context.Context, fault fault) {
		var all sync.WaitGroup
		for _, member := range fault.hit {
			all.Go(func() {
				if !member.take() {
					return
				}
				defer member.giveBack()
				end(member)
				pause(ctx, fault.term)
				if err := injector.fleet.start(member); err != nil {
					injector.fleet.judge.Report("START: %v", err)
				}
			})
		}
		all.Wait()
	}
}

func (injector *injector) freeze(ctx context.Context, fault fault) {
	member := fault.hit[0]
	if !member.take() {
		return
	}
	defer member.giveBack()
	process := member.running()
	process.Freeze()
	pause(ctx, fault.term)
	process.Thaw()
}

func (injector *injector) crash(ctx context.Context, fault fault) {
	for _, member := range fault.hit {
		member.server.Crash()
	}
	pause(ctx, fault.term)
	for _, member := range fault.hit {
		injector.revive(ctx, member)
	}
}

// drain lets a backend server leave as planned, and come back.
func (injector *injector) drain(ctx context.Context, fault fault) {
	fault.hit[0].server.Drain()
	pause(ctx, 3*time.Second)
	fault.hit[0].server.Crash()
	pause(ctx, fault.term)
	injector.revive(ctx, fault.hit[0])
}

func (injector *injector) revive(ctx context.Context, member *member) {
	if err := member.server.Start(context.WithoutCancel(ctx)); err != nil {
		// Another fault has started it already.
		return
	}
}

func (injector *injector) store(kind simulator.StoreFault) func(ctx context.Context, fault fault) {
	return func(ctx context.Context, fault fault) {
		injector.fleet.store.SetFault(kind)
		pause(ctx, fault.term)
		injector.fleet.store.SetFault(simulator.StoreWorks)
	}
}

// draw returns the faults of a play in the order of their times; some come in series on the same daemon.
func (injector *injector) draw(random *rand.Rand, count int, term time.Duration) []fault {
	var faults []fault
	at, member := time.Duration(0), injector.fleet.members[0]
	for range count {
		if random.IntN(3) > 0 || len(faults) == 0 {
			at = time.Duration(random.Int64N(int64(term)))
			member = injector.fleet.members[random.IntN(len(injector.fleet.members))]
		} else {
			at += time.Duration(random.Int64N(int64(400 * time.Millisecond)))
		}
		drawn := injector.one(random, member)
		drawn.at = at
		faults = append(faults, drawn)
	}
	return faults
}

// one returns a fault of a random kind.
func (injector *injector) one(random *rand.Rand, victim *member) fault {
	members := injector.fleet.members
	other := members[random.IntN(len(members))]
	server, name := victim.server.Name(), victim.name
	alone, both := []*member{victim}, []*member{victim, other}
	kill := injector.restart(func(member *member) { member.running().Kill() })
	stop := injector.restart(func(member *member) { member.running().Stop() })
	half := members[:len(members)/2]
	choices := []fault{
		{name: "kill", hit: alone, run: kill},
		{name: "stop", hit: alone, run: stop},
		{name: "kill half", hit: half, run: kill},
		{name: "kill all", hit: members, run: kill},
		{name: "freeze", hit: alone, run: injector.freeze},
		{name: "crash server", hit: alone, run: injector.crash},
		{name: "crash servers", hit: half, run: injector.crash},
		{name: "drain server", hit: alone, run: injector.drain},
		{name: "store refuses", run: injector.store(simulator.StoreRefuses)},
		{name: "store resets", run: injector.store(simulator.StoreResets)},
		{name: "store slow", run: injector.store(simulator.StoreSlow)},
		{name: "store loses answers", run: injector.store(simulator.StoreLosesAnswers)},
		{name: "cut from store", hit: alone, run: injector.cut(way{name, "store"}, way{"store", name})},
		{name: "store not heard", hit: alone, run: injector.cut(way{"store", name})},
		{name: "cut off", hit: alone, run: injector.cut(way{name, anyone}, way{anyone, name})},
		{name: "cut in two", hit: both, run: injector.cut(way{name, other.name}, way{other.name, name})},
		{name: "not heard by", hit: both, run: injector.cut(way{name, other.name})},
		{name: "server cut", hit: alone, run: injector.cut(way{name, server}, way{server, name})},
		{name: "server's answers cut", hit: alone, run: injector.cut(way{server, name})},
		{name: "announcements' answers cut", hit: alone, run: injector.cut(way{name, server})},
		{name: "delay", hit: alone, run: injector.slow},
		{name: "reset", hit: alone, run: injector.reset},
		{name: "evacuate", hit: alone, run: injector.evacuate},
		{name: "publish", run: injector.publish},
	}
	chosen := choices[random.IntN(len(choices))]
	chosen.term = 200*time.Millisecond + time.Duration(random.Int64N(int64(longestFault)))
	return chosen
}

// longestFault bounds the term of a fault; it is longer than any lease or hold.
const longestFault = 9 * time.Second

func (injector *injector) slow(ctx context.Context, fault fault) {
	const delay = 150 * time.Millisecond
	name := fault.hit[0].name
	injector.change(func() { injector.delays[name] += delay })
	pause(ctx, fault.term)
	injector.change(func() { injector.delays[name] -= delay })
}

func (injector *injector) reset(_ context.Context, fault fault) {
	name := fault.hit[0].name
	injector.fleet.network.Reset(func(from, to string) bool { return from == name || to == name })
}

func (injector *injector) evacuate(ctx context.Context, fault fault) {
	key := fmt.Sprintf("op/evacuate/z%d", fault.hit[0].zone)
	if err := injector.fleet.store.Put(key, "{}"); err != nil {
		injector.fleet.judge.Report("STORE: %v", err)
	}
	pause(ctx, fault.term)
	injector.fleet.store.Remove(key)
}

func (injector *injector) publish(context.Context, fault) {
	if err := injector.fleet.publish(); err != nil {
		injector.fleet.judge.Report("STORE: %v", err)
	}
}
