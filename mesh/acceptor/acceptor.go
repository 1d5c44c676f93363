package acceptor

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/gatekeeper"
	"lagoonlanding.example/lagoonlanding/mesh/grantor"
	"lagoonlanding.example/lagoonlanding/requests/quarantiner"
)

// Config holds what an Acceptor is built from.
type Config struct {
	// Service is the service that the backend server beside the daemon runs.
	Service string
	// Address is the host and port of the backend server.
	Address string
	// Gate admits tasks.
	Gate *gatekeeper.Gate
	// Runner runs tasks.
	Runner lagoonlanding.Runner
	// Holding returns which keys the backend server holds.
	Holding func() *grantor.Holding
	// Lost is told of a life of the backend server that has ended.
	Lost func(id lagoonlanding.BackendID)
	// Quarantine knows the requests that crash backend servers, and Crashed is told when it has learned of a crash.
	Quarantine *quarantiner.Quarantine
	Crashed    func()
	// Clock tells the time.
	Clock lagoonlanding.Clock
	// Log takes one line for each task.
	Log *logrus.Entry
}

// movingTerm is when a task for keys that are on their way should come again.
const movingTerm = 150 * time.Millisecond

// Acceptor takes the tasks for the backend server.
type Acceptor struct {
	config Config
}

var _ lagoonlanding.TaskHandler = (*Acceptor)(nil)

// New returns an acceptor.
func New(config Config) *Acceptor { return &Acceptor{config: config} }

// Handle admits the task and runs it.
func (acceptor *Acceptor) Handle(ctx context.Context, task lagoonlanding.Task) lagoonlanding.Result {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(task.Deadline().Sub(acceptor.config.Clock.Now())))
	result, pass := acceptor.admit(ctx, task)
	if pass != nil {
		result = acceptor.run(ctx, pass, task)
	}
	end := func() {
		if pass != nil {
			pass.Finish(result.Outcome() == lagoonlanding.OutcomeAnswered)
		}
		cancel()
	}
	if result.Outcome() != lagoonlanding.OutcomeAnswered {
		end()
		acceptor.log(task, result)
		return acceptor.withLoad(result)
	}
	acceptor.log(task, result)
	answer := result.Answer()
	ended := &ending{ReadCloser: answer.Body(), end: end}
	if answer.BodyLength() >= 0 && answer.BodyLength() <= caughtUp {
		// The whole answer is here, so the slot is free before it has been passed on.
		ended.finish()
	}
	return acceptor.withLoad(result.With(func(config *lagoonlanding.ResultConfig) { config.Answer = answer.WithBody(ended) }))
}

// caughtUp is the length of bodies in bytes that a Runner has read whole before it returns.
const caughtUp = 64 << 10

// admit returns a pass, or the refusal of the task.
func (acceptor *Acceptor) admit(ctx context.Context, task lagoonlanding.Task) (lagoonlanding.Result, *gatekeeper.Pass) {
	if task.Service() != acceptor.config.Service {
		// The sender knows a daemon that had the address before.
		return lagoonlanding.NotRun(lagoonlanding.ReasonNoUpstream, acceptor.config.Clock.Now()), nil
	}
	if !acceptor.holds(task) {
		return lagoonlanding.NotRun(lagoonlanding.ReasonMoving, acceptor.config.Clock.Now().Add(movingTerm)), nil
	}
	if acceptor.treatment(task) == quarantiner.Stopped {
		return acceptor.quarantined(), nil
	}
	pass, reason, retryAt := acceptor.config.Gate.Enter(ctx, task)
	if pass == nil {
		return lagoonlanding.NotRun(reason, retryAt), nil
	}
	if !acceptor.holds(task) {
		pass.Finish(false)
		return lagoonlanding.NotRun(lagoonlanding.ReasonMoving, acceptor.config.Clock.Now().Add(movingTerm)), nil
	}
	return lagoonlanding.Result{}, pass
}

// holds reports whether the backend server may be asked for the task's key.
func (acceptor *Acceptor) holds(task lagoonlanding.Task) bool {
	if task.ShardKey() == lagoonlanding.NoShardKey {
		return true
	}
	return acceptor.config.Holding().Has(acceptor.config.Clock.Now(), task.ShardKey())
}

// run runs the task, and tells of a backend server that has ended with it.
func (acceptor *Acceptor) run(ctx context.Context, pass *gatekeeper.Pass, task lagoonlanding.Task) lagoonlanding.Result {
	run, ok := acceptor.begin(task)
	if !ok {
		return acceptor.quarantined()
	}
	result := acceptor.config.Runner.Run(ctx, pass.ID(), acceptor.config.Address, task)
	// A connection that breaks may be all that has ended.
	crashed := result.Reason() == lagoonlanding.ReasonConnectionLost && ctx.Err() == nil && acceptor.config.Runner.HasEnded(ctx, acceptor.config.Address)
	if crashed || result.Reason() == lagoonlanding.ReasonNoUpstream {
		acceptor.config.Lost(pass.ID())
	}
	if acceptor.config.Quarantine.Finish(acceptor.config.Clock.Now(), run, crashed) {
		acceptor.config.Crashed()
	}
	return result
}

func (acceptor *Acceptor) withLoad(result lagoonlanding.Result) lagoonlanding.Result {
	load := acceptor.config.Gate.Load()
	return result.With(func(config *lagoonlanding.ResultConfig) { config.Load = load })
}

func (acceptor *Acceptor) log(task lagoonlanding.Task, result lagoonlanding.Result) {
	if result.Outcome() == lagoonlanding.OutcomeAnswered {
		return
	}
	load := acceptor.config.Gate.Load()
	acceptor.config.Log.WithFields(logrus.Fields{
		"request": task.ID(), "route": task.Route(), "service": task.Service(), "outcome": result.Outcome().String(), "reason": result.Reason(),
		"shard-key": task.ShardKey(), "running": load.Running(), "waiting": load.Waiting(), "slots": load.Slots(),
	}).Info("Task was not answered.")
}

// ending ends the use of a slot once the body is closed.
type ending struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

func (ending *ending) finish() { ending.once.Do(ending.end) }

// Close closes the body and frees the slot.
func (ending *ending) Close() error {
	defer ending.finish()
	return ending.ReadCloser.Close()
}
