package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lagoonlanding.example/demo/deployer"
)

// Parameters of the callers.
const (
	workers          = 24
	thinkTime        = 20 * time.Millisecond
	attemptDeadline  = 1500 * time.Millisecond
	retryInterval    = 100 * time.Millisecond
	operationTimeout = 8 * time.Second
	keysPerTenant    = 400
)

// Config holds the configuration of a LoadGenerator.
type Config struct {
	// Plan describes the deployment.
	Plan deployer.Plan
	// Instances are the instances to which callers may send requests.
	Instances []deployer.Instance
	// Seed is the seed of the random operations.
	Seed uint64
}

// LoadGenerator simulates concurrent callers, each of which executes one operation after another.
type LoadGenerator struct {
	config  Config
	client  *Client
	results chan Result
	done    chan []Result
}

// NewLoadGenerator returns a load generator with the given configuration.
func NewLoadGenerator(config Config) *LoadGenerator {
	return &LoadGenerator{config: config, client: NewClient(), results: make(chan Result), done: make(chan []Result, 1)}
}

// Start executes operations until ctx is done; operations in progress are completed.
func (loadgenerator *LoadGenerator) Start(ctx context.Context) {
	var running sync.WaitGroup
	for worker := range workers {
		running.Go(func() { loadgenerator.runWorker(ctx, worker) })
	}
	go func() {
		running.Wait()
		close(loadgenerator.results)
	}()
	go loadgenerator.collect()
}

// Results waits until all callers have finished and returns all results.
func (loadgenerator *LoadGenerator) Results() []Result { return <-loadgenerator.done }

func (loadgenerator *LoadGenerator) collect() {
	var results []Result
	for result := range loadgenerator.results {
		results = append(results, result)
	}
	loadgenerator.done <- results
}

func (loadgenerator *LoadGenerator) runWorker(ctx context.Context, worker int) {
	random := rand.New(rand.NewPCG(loadgenerator.config.Seed, uint64(worker)))
	for count := 0; ctx.Err() == nil; count++ {
		operation := loadgenerator.nextOperation(random, fmt.Sprintf("%d-%d-%d", loadgenerator.config.Seed, worker, count))
		loadgenerator.results <- loadgenerator.execute(random, operation)
		select {
		case <-ctx.Done():
		case <-time.After(thinkTime):
		}
	}
}

func (loadgenerator *LoadGenerator) nextOperation(random *rand.Rand, id string) Operation {
	services, tenants := loadgenerator.config.Plan.Services(), loadgenerator.config.Plan.Tenants()
	service := services[0]
	// Half of the operations go to the sharded service.
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

// execute retries the operation until it is answered, fails permanently or times out; retries reuse the idempotency key and the ticket.
func (loadgenerator *LoadGenerator) execute(random *rand.Rand, operation Operation) Result {
	ctx := context.Background()
	result := Result{operation: operation, started: time.Now()}
	unknownReason := ""
	for {
		instance := loadgenerator.pickInstance(random, operation.tenant)
		if operation.write && operation.ticket == "" {
			operation.ticket = loadgenerator.client.Ticket(ctx, instance)
		}
		if !operation.write || operation.ticket != "" {
			result.attempts++
			got := loadgenerator.client.send(ctx, instance, operation, attemptDeadline)
			result.outcome, result.reason, result.owner = got.outcome, got.reason, got.owner
			if got.outcome == OutcomeUnknown {
				unknownReason = got.reason
			}
		} else {
			result.outcome, result.reason = OutcomeNotRun, "no-ticket"
		}
		if result.outcome == OutcomeNotRun {
			result.refusals = append(result.refusals, result.reason)
		}
		result.finished = time.Now()
		if isFinal(result) || result.Latency() > operationTimeout {
			return finalResult(result, unknownReason)
		}
		time.Sleep(retryInterval)
	}
}

// isFinal reports whether a retry is useless: the operation was answered, or its ticket, which retries reuse, predates the owner.
func isFinal(result Result) bool {
	switch result.outcome {
	case OutcomeAnswered, OutcomeMismatched:
		return true
	case OutcomeUnknown:
		return result.reason == "ticket-predates-owner"
	}
	return false
}

// finalResult changes a refusal to an unknown outcome if an earlier attempt may have run.
func finalResult(result Result, unknownReason string) Result {
	if result.outcome == OutcomeNotRun && unknownReason != "" {
		result.outcome, result.reason = OutcomeUnknown, unknownReason
	}
	return result
}

// pickInstance returns a random instance in the tenant's home region.
func (loadgenerator *LoadGenerator) pickInstance(random *rand.Rand, tenant deployer.Tenant) deployer.Instance {
	for {
		instance := loadgenerator.config.Instances[random.IntN(len(loadgenerator.config.Instances))]
		if tenant.Home() == "" || instance.Zone().Region() == tenant.Home() {
			return instance
		}
	}
}
