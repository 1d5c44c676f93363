package experimenter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/limiter"
	"lagoonlanding.example/lagoonlanding/requests/quarantiner"
	"lagoonlanding.example/measure/faker"
	"lagoonlanding.example/measure/player"
	"lagoonlanding.example/measure/tabulator"
)

// The course of the experiment with a crashing request.
const (
	poisonEnd      = 60 * time.Second
	poisonResend   = 500 * time.Millisecond
	poisonDown     = time.Second
	poisonTell     = 300 * time.Millisecond
	poisonLoad     = 0.4
	poisonWarmth   = 12
	poisonFleet    = 4
	poisonService  = "status-app"
	poisonDeadline = time.Second
	// poisonRun is how long the request runs before its backend server crashes.
	poisonRun = 5 * time.Millisecond
)

// Poison lets a caller re-send a request that crashes each backend server that runs it.
func Poison(seed uint64) Result {
	table := tabulator.NewTable(
		"A request that crashes its backend server (1 s down, then cold) is sent again each 500 ms to 4 instances for 60 s; load 40 %",
		"crashes", "harmless requests failed in 1000", "harmless p99 in ms", "harmless requests stopped")
	for _, way := range []struct {
		name          string
		isQuarantined bool
	}{{"no quarantine", false}, {"quarantine", true}} {
		run := runPoison(seed, way.isQuarantined, poisonEnd)
		table.Add(way.name, float64(run.crashes), run.tally.failedPerMille(), run.tally.quantile(99), float64(run.stopped))
	}
	return Result{tables: []*tabulator.Table{table}}
}

type poisonInstance struct {
	node       *faker.Node
	quarantine *quarantiner.Quarantine
}

type poisonPlay struct {
	simulation    *player.Simulation
	isQuarantined bool
	instances     []poisonInstance
	tally         *tally
	crashes       int
	stopped       int
}

func runPoison(seed uint64, isQuarantined bool, end time.Duration) *poisonPlay {
	simulation := player.NewSimulation(seed)
	run := &poisonPlay{simulation: simulation, isQuarantined: isQuarantined, tally: newTally()}
	for index := range poisonFleet {
		node := newNode(simulation, false, poisonWarmth)
		warmUp(simulation, node)
		random := rand.New(rand.NewPCG(seed, uint64(index)))
		run.instances = append(run.instances, poisonInstance{
			node: node, quarantine: quarantiner.NewQuarantine(quarantiner.Config{Random: random}),
		})
	}
	simulation.Arrivals(func() float64 { return poisonLoad * poisonFleet * capacity }, end, func() {
		run.send(newPath(simulation.Random()), run.instances[simulation.Random().IntN(poisonFleet)])
	})
	simulation.Every(poisonResend, func() bool {
		run.send("/poison", run.instances[simulation.Random().IntN(poisonFleet)])
		return simulation.Elapsed() < end
	})
	simulation.Every(poisonTell, func() bool {
		run.tell()
		return simulation.Elapsed() < end
	})
	simulation.Run()
	return run
}

// newPath draws one of many keys, of which some are asked for often.
func newPath(random *rand.Rand) string {
	const keys = 1000
	return fmt.Sprint("/tags/", min(int(random.ExpFloat64()*keys/8), keys))
}

// tell lets each instance tell another one its suspects, as heartbeats do.
func (poisonplay *poisonPlay) tell() {
	for _, from := range poisonplay.instances {
		for _, to := range poisonplay.instances {
			if from != to {
				notice := lagoonlanding.NewSuspectNotice(poisonService, "attica", from.quarantine.Suspects(poisonplay.simulation.Now(), poisonService))
				to.quarantine.Merge(poisonplay.simulation.Now(), notice)
			}
		}
	}
}

func (poisonplay *poisonPlay) send(path string, instance poisonInstance) {
	request := lagoonlanding.NewRequest(lagoonlanding.RequestConfig{Method: "GET", Path: path, Idempotent: true, Key: lagoonlanding.NewKey(poisonService, "tags", path)})
	poisonplay.run(request, poisonplay.simulation.Now(), instance)
}

func (poisonplay *poisonPlay) run(request lagoonlanding.Request, started time.Time, instance poisonInstance) {
	treatment := quarantiner.Free
	if poisonplay.isQuarantined {
		treatment = instance.quarantine.Check(poisonplay.simulation.Now(), request)
	}
	isPoison := request.Path() == "/poison"
	if treatment == quarantiner.Stopped {
		if !isPoison {
			poisonplay.stopped++
			poisonplay.tally.fail()
		}
		return
	}
	isAgain := false
	instance.node.Submit(faker.JobConfig{
		QueuedRequest: lagoonlanding.NewQueuedRequest(lagoonlanding.QueuedRequestConfig{
			Tenant: "tags", Class: "status", Deadline: started.Add(poisonDeadline), Exclusive: treatment == quarantiner.Alone,
		}),
		Run: func(done func(limiter.Result)) {
			run, ok := instance.quarantine.Start(poisonplay.simulation.Now(), request, treatment)
			if !ok && poisonplay.isQuarantined {
				isAgain = true
				done(limiter.Unsent)
				return
			}
			poisonplay.start(instance, isPoison, func(result limiter.Result) {
				if run != nil {
					instance.quarantine.Finish(poisonplay.simulation.Now(), run, result == limiter.Reset)
				}
				done(result)
			})
		},
		Done: func(reason lagoonlanding.Reason, result limiter.Result) {
			switch {
			case isAgain:
				poisonplay.run(request, started, instance)
			case isPoison:
			case reason == lagoonlanding.ReasonNone && result == limiter.Served:
				poisonplay.tally.answer(poisonplay.simulation.Now().Sub(started))
			default:
				poisonplay.tally.fail()
			}
		},
	})
}

func (poisonplay *poisonPlay) start(instance poisonInstance, isPoison bool, done func(limiter.Result)) {
	if !isPoison {
		instance.node.Backend().Start(draw(poisonplay.simulation.Random(), meanTime), done)
		return
	}
	// The request never ends by itself: the crash breaks it with all others.
	instance.node.Backend().Start(time.Hour, done)
	poisonplay.simulation.After(poisonRun, func() {
		if instance.node.Backend().IsUp() {
			poisonplay.crashes++
			instance.node.Backend().Crash(poisonDown)
		}
	})
}
