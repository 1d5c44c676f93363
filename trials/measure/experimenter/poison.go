package experimenter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/limiter"
	"lagoonlanding.example/lagoonlanding/requests/quarantiner"
	"lagoonlanding.example/measure/faker"
	"lagoonlanding.example/measure/sequencer"
	"lagoonlanding.example/measure/tabulator"
)

// The parameters of the poison experiment.
const (
	poisonEnd            = 60 * time.Second
	poisonResendInterval = 500 * time.Millisecond
	poisonDownTime       = time.Second
	poisonShareInterval  = 300 * time.Millisecond
	poisonLoad           = 0.4
	poisonWarmUpRequests = 12
	poisonInstances      = 4
	poisonService        = "status-app"
	poisonDeadline       = time.Second
	// poisonCrashDelay is the time from the start of the request to the crash of its backend server.
	poisonCrashDelay = 5 * time.Millisecond
)

// Poison repeatedly sends a request that crashes each backend server that runs it, with and without quarantine.
func Poison(seed uint64) Result {
	table := tabulator.NewTable(
		"A request that crashes its backend server (1 s down, then cold) is sent again each 500 ms to 4 instances for 60 s; load 40 %",
		"crashes", "harmless requests failed in 1000", "harmless p99 in ms", "harmless requests refused")
	for _, variant := range []struct {
		name          string
		hasQuarantine bool
	}{{"no quarantine", false}, {"quarantine", true}} {
		run := runPoison(seed, variant.hasQuarantine, poisonEnd)
		table.Add(variant.name, float64(run.crashes), run.tally.failedPerMille(), run.tally.percentile(99), float64(run.refused))
	}
	return Result{tables: []*tabulator.Table{table}}
}

// poisonInstance is an instance with its quarantine.
type poisonInstance struct {
	node       *faker.Node
	quarantine *quarantiner.Quarantine
}

// poisonRun is one run of the poison experiment.
type poisonRun struct {
	simulation    *sequencer.Simulation
	hasQuarantine bool
	instances     []poisonInstance
	tally         *tally
	crashes       int
	refused       int
}

func runPoison(seed uint64, hasQuarantine bool, end time.Duration) *poisonRun {
	simulation := sequencer.NewSimulation(seed)
	run := &poisonRun{simulation: simulation, hasQuarantine: hasQuarantine, tally: newTally()}
	for index := range poisonInstances {
		node := newNode(simulation, false, poisonWarmUpRequests)
		warmUp(simulation, node)
		random := rand.New(rand.NewPCG(seed, uint64(index)))
		run.instances = append(run.instances, poisonInstance{
			node: node, quarantine: quarantiner.NewQuarantine(quarantiner.Config{Random: random}),
		})
	}
	simulation.Arrivals(func() float64 { return poisonLoad * poisonInstances * capacity }, end, func() {
		run.send(randomPath(simulation.Random()), run.instances[simulation.Random().IntN(poisonInstances)])
	})
	simulation.Every(poisonResendInterval, func() bool {
		run.send("/poison", run.instances[simulation.Random().IntN(poisonInstances)])
		return simulation.Elapsed() < end
	})
	simulation.Every(poisonShareInterval, func() bool {
		run.shareSuspects()
		return simulation.Elapsed() < end
	})
	simulation.Run()
	return run
}

// randomPath returns the path of a random key with an exponential distribution, so that some keys are requested often.
func randomPath(random *rand.Rand) string {
	const keys = 1000
	return fmt.Sprint("/tags/", min(int(random.ExpFloat64()*keys/8), keys))
}

// shareSuspects sends the suspects of each instance to all others, as the heartbeats do.
func (poisonrun *poisonRun) shareSuspects() {
	for _, from := range poisonrun.instances {
		for _, to := range poisonrun.instances {
			if from != to {
				notice := lagoonlanding.NewSuspectNotice(poisonService, "attica", from.quarantine.Suspects(poisonrun.simulation.Now(), poisonService))
				to.quarantine.Merge(poisonrun.simulation.Now(), notice)
			}
		}
	}
}

func (poisonrun *poisonRun) send(path string, instance poisonInstance) {
	request := lagoonlanding.NewRequest(lagoonlanding.RequestConfig{Method: "GET", Path: path, Idempotent: true, Key: lagoonlanding.NewKey(poisonService, "tags", path)})
	poisonrun.submit(request, poisonrun.simulation.Now(), instance)
}

// submit submits the request to the instance unless its quarantine refuses it.
func (poisonrun *poisonRun) submit(request lagoonlanding.Request, started time.Time, instance poisonInstance) {
	treatment := quarantiner.Unrestricted
	if poisonrun.hasQuarantine {
		treatment = instance.quarantine.Check(poisonrun.simulation.Now(), request)
	}
	isPoison := request.Path() == "/poison"
	if treatment == quarantiner.Refused {
		if !isPoison {
			poisonrun.refused++
			poisonrun.tally.recordFailure()
		}
		return
	}
	isRequeued := false
	instance.node.Submit(faker.JobConfig{
		QueuedRequest: lagoonlanding.NewQueuedRequest(lagoonlanding.QueuedRequestConfig{
			Tenant: "tags", Class: "status", Deadline: started.Add(poisonDeadline), Exclusive: treatment == quarantiner.Exclusive,
		}),
		Run: func(done func(limiter.Result)) {
			run, ok := instance.quarantine.Start(poisonrun.simulation.Now(), request, treatment)
			if !ok && poisonrun.hasQuarantine {
				isRequeued = true
				done(limiter.Unsent)
				return
			}
			poisonrun.start(instance, isPoison, func(result limiter.Result) {
				if run != nil {
					instance.quarantine.Finish(poisonrun.simulation.Now(), run, result == limiter.ConnectionLost)
				}
				done(result)
			})
		},
		Done: func(reason lagoonlanding.Reason, result limiter.Result) {
			switch {
			case isRequeued:
				poisonrun.submit(request, started, instance)
			case isPoison:
			case reason == lagoonlanding.ReasonNone && result == limiter.Served:
				poisonrun.tally.recordAnswer(poisonrun.simulation.Now().Sub(started))
			default:
				poisonrun.tally.recordFailure()
			}
		},
	})
}

// start runs the request on the backend server, which crashes if the request is the poison.
func (poisonrun *poisonRun) start(instance poisonInstance, isPoison bool, done func(limiter.Result)) {
	if !isPoison {
		instance.node.Backend().Start(randomRunTime(poisonrun.simulation.Random(), meanRunTime), done)
		return
	}
	// The request does not complete: the crash aborts it with all others.
	instance.node.Backend().Start(time.Hour, done)
	poisonrun.simulation.After(poisonCrashDelay, func() {
		if instance.node.Backend().IsUp() {
			poisonrun.crashes++
			instance.node.Backend().Crash(poisonDownTime)
		}
	})
}
