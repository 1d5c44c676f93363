package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lagoonlanding.example/demo/deployer"
)

// The behaviour of the callers.
const (
	workers       = 24
	thinkTime     = 20 * time.Millisecond
	tryDeadline   = 1500 * time.Millisecond
	retryInterval = 100 * time.Millisecond
	patience      = 8 * time.Second
	keysPerTenant = 400
)

// Config holds the parts of a Load.
type Config struct {
	// Plan is the deployment.
	Plan deployer.Plan
	// Places are the daemons that callers may ask.
	Instances []deployer.Instance
	// Seed starts the sequence of operations.
	Seed uint64
}

// Load is a number of callers that each send one operation after another.
type LoadGenerator struct {
	config  Config
	client  *Client
	results chan Result
	done    chan []Result
}

// NewLoad returns the load that the configuration describes.
func NewLoadGenerator(config Config) *LoadGenerator {
	return &LoadGenerator{config: config, client: NewClient(), results: make(chan Result), done: make(chan []Result, 1)}
}

// Start sends operations until ctx ends; each operation that has begun is brought to its end.
func (loadgenerator *LoadGenerator) Start(ctx context.Context) {
	var running sync.WaitGroup
	for worker := range workers {
		running.Go(func() { loadgenerator.work(ctx, worker) })
	}
	go func() {
		running.Wait()
		close(loadgenerator.results)
	}()
	go loadgenerator.collect()
}

// Results waits for the end of the load and returns all results.
func (loadgenerator *LoadGenerator) Results() []Result { return <-loadgenerator.done }

func (loadgenerator *LoadGenerator) collect() {
	var results []Result
	for result := range loadgenerator.results {
		results = append(results, result)
	}
	loadgenerator.done <- results
}

func (loadgenerator *LoadGenerator) work(ctx context.Context, worker int) {
	random := rand.New(rand.NewPCG(loadgenerator.config.Seed, uint64(worker)))
	for count := 0; ctx.Err() == nil; count++ {
		operation := loadgenerator.next(random, fmt.Sprintf("%d-%d-%d", loadgenerator.config.Seed, worker, count))
		loadgenerator.results <- loadgenerator.do(random, operation)
		select {
		case <-ctx.Done():
		case <-time.After(thinkTime):
		}
	}
}

func (loadgenerator *LoadGenerator) next(random *rand.Rand, id string) Operation {
	services, tenants := loadgenerator.config.Plan.Services(), loadgenerator.config.Plan.Tenants()
	service := services[0]
	// Half of the operations go to the divided service.
	if random.IntN(2) == 1 {
		service = services[1+random.IntN(len(services)-1)]
	}
	return Operation{
		service:        service,
		tenant:         tenants[random.IntN(len(tenants))],
		key:            fmt.Sprintf("k-%d", random.IntN(keysPerTenant)),
		write:          service.TakesWrites() && random.IntN(3) == 0,
		idempotencyKey: "op-" + id,
	}
}

// do tries until an answer, a refusal that lasts, or an outcome that stays unknown; a resent try keeps key and ticket.
func (loadgenerator *LoadGenerator) do(random *rand.Rand, operation Operation) Result {
	ctx := context.Background()
	result := Result{operation: operation, started: time.Now()}
	unknown := ""
	for {
		instance := loadgenerator.pick(random, operation.tenant)
		if operation.write && operation.ticket == "" {
			operation.ticket = loadgenerator.client.Ticket(ctx, instance)
		}
		if !operation.write || operation.ticket != "" {
			result.attempts++
			got := loadgenerator.client.send(ctx, instance, operation, tryDeadline)
			result.outcome, result.reason, result.owner = got.outcome, got.reason, got.owner
			if got.outcome == OutcomeUnknown {
				unknown = got.reason
			}
		} else {
			result.outcome, result.reason = OutcomeNotRun, "no-ticket"
		}
		if result.outcome == OutcomeNotRun {
			result.refusals = append(result.refusals, result.reason)
		}
		result.finished = time.Now()
		if isFinal(result) || result.Latency() > patience {
			return settled(result, unknown)
		}
		time.Sleep(retryInterval)
	}
}

func isFinal(result Result) bool {
	switch result.outcome {
	case OutcomeAnswered, OutcomeMismatched:
		return true
	case OutcomeUnknown:
		return result.reason == "ticket-predates-owner"
	}
	return false
}

// settled keeps an operation unknown whose earlier try may have run.
func settled(result Result, unknown string) Result {
	if result.outcome == OutcomeNotRun && unknown != "" {
		result.outcome, result.reason = OutcomeUnknown, unknown
	}
	return result
}

// pick returns a daemon within the tenant's home region.
func (loadgenerator *LoadGenerator) pick(random *rand.Rand, tenant deployer.Tenant) deployer.Instance {
	for {
		instance := loadgenerator.config.Instances[random.IntN(len(loadgenerator.config.Instances))]
		if tenant.Home() == "" || instance.Zone().Region() == tenant.Home() {
			return instance
		}
	}
}
