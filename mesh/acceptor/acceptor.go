package acceptor

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/assigner"
	"lagoonlanding.example/lagoonlanding/mesh/budgeter"
	"lagoonlanding.example/lagoonlanding/mesh/gatekeeper"
	"lagoonlanding.example/lagoonlanding/requests/quarantiner"
)

// Config holds the dependencies of an Acceptor.
type Config struct {
	// Service is the service of the backend server beside the daemon.
	Service string
	// Address is the host and port of the backend server.
	Address string
	// Gate admits tasks.
	Gate *gatekeeper.Gate
	// Runner runs tasks.
	Runner lagoonlanding.Runner
	// Ownership returns the ranges that the backend server owns.
	Ownership func() *assigner.Ownership
	// OnProcessEnded is called when a process of the backend server has ended.
	OnProcessEnded func(id lagoonlanding.BackendID)
	// OnLeaving is called when a process of the backend server says that it is about to stop.
	OnLeaving func(id lagoonlanding.BackendID)
	// Quarantine tracks the requests that crash backend servers.
	Quarantine *quarantiner.Quarantine
	// OnCrashRecorded is called when the quarantine has recorded a crash.
	OnCrashRecorded func()
	// Shutdown tells which tasks are still accepted while the daemon shuts down.
	Shutdown lagoonlanding.Shutdown
	// ServerBytes bounds the bytes of the requests that the backend server holds; nil for no bound.
	ServerBytes *budgeter.ServerBytes
	// Clock returns the current time.
	Clock lagoonlanding.Clock
	// Log receives one line per task that was not answered.
	Log *logrus.Entry
}

// movingRetryDelay is the retry delay for a task whose shard is moving.
const movingRetryDelay = 150 * time.Millisecond

// Acceptor handles the tasks for the backend server.
type Acceptor struct {
	config Config
	// leaving is the last process of the backend server that said that it is about to stop.
	leaving atomic.Pointer[lagoonlanding.BackendID]
}

var _ lagoonlanding.TaskHandler = (*Acceptor)(nil)

// New returns an acceptor.
func New(config Config) *Acceptor { return &Acceptor{config: config} }

// Handle admits the task and runs it.
func (acceptor *Acceptor) Handle(ctx context.Context, task lagoonlanding.Task) lagoonlanding.Result {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(task.Deadline().Sub(acceptor.config.Clock.Now())))
	result, pass := acceptor.admit(ctx, task)
	var load *serverLoad
	if pass != nil {
		load, result = acceptor.enterServer(task, cancel)
	}
	if load != nil {
		// The shutdown may have begun while the task waited for a slot.
		if accepted, ok := acceptor.config.Shutdown.Accept(task); ok {
			result = acceptor.run(ctx, pass, load.withCountedBody(accepted))
		} else {
			result = acceptor.shuttingDown()
		}
	}
	end := func() {
		load.leave(acceptor.config.Clock.Now(), result.Outcome() == lagoonlanding.OutcomeAnswered)
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
	body := &finishOnClose{ReadCloser: answer.Body(), end: end}
	if received, ok := answer.Body().(lagoonlanding.ReceivedBody); ok {
		// A short answer may not have been received yet either, if there was no memory for it.
		received.OnReceived(body.finish)
	} else if answer.BodyLength() >= 0 && answer.BodyLength() <= maxPrefetchedBody {
		// The whole answer has been read, so the slot can be freed before the answer is forwarded.
		body.finish()
	}
	return acceptor.withLoad(result.With(func(config *lagoonlanding.ResultConfig) { config.Answer = answer.WithBody(body) }))
}

// maxPrefetchedBody is the length in bytes up to which a Runner reads the whole body before it returns.
const maxPrefetchedBody = 64 << 10

// admit returns a pass, or a result that refuses the task.
func (acceptor *Acceptor) admit(ctx context.Context, task lagoonlanding.Task) (lagoonlanding.Result, *gatekeeper.Pass) {
	if task.Service() != acceptor.config.Service {
		// The sender expects another daemon, which used this address earlier.
		return lagoonlanding.NotRun(lagoonlanding.ReasonNoUpstream, acceptor.config.Clock.Now()), nil
	}
	if !acceptor.owns(task) {
		return lagoonlanding.NotRun(lagoonlanding.ReasonMoving, acceptor.config.Clock.Now().Add(movingRetryDelay)), nil
	}
	if _, ok := acceptor.config.Shutdown.Accept(task); !ok {
		return acceptor.shuttingDown(), nil
	}
	if acceptor.treatment(task) == quarantiner.Refused {
		return acceptor.quarantinedResult(), nil
	}
	memory := budgeter.FromContext(ctx)
	if delay, ok := memory.Budget().Admit(time.Now()); !ok {
		return lagoonlanding.NotRun(lagoonlanding.ReasonMemory, acceptor.config.Clock.Now().Add(delay)), nil
	}
	memory.Charge(budgeter.Queues, budgeter.QueuedCost)
	pass, reason, retryAt := acceptor.config.Gate.Enter(ctx, task)
	memory.Release(budgeter.Queues, budgeter.QueuedCost)
	if pass == nil {
		return lagoonlanding.NotRun(reason, retryAt), nil
	}
	if !acceptor.owns(task) {
		pass.Finish(false)
		return lagoonlanding.NotRun(lagoonlanding.ReasonMoving, acceptor.config.Clock.Now().Add(movingRetryDelay)), nil
	}
	return lagoonlanding.Result{}, pass
}

// shuttingDown returns the refusal of a task whose answer the daemon might not live to pass on.
func (acceptor *Acceptor) shuttingDown() lagoonlanding.Result {
	return lagoonlanding.NotRun(lagoonlanding.ReasonShuttingDown, acceptor.config.Shutdown.RetryAt())
}

// owns reports whether the backend server owns the task's shard key.
func (acceptor *Acceptor) owns(task lagoonlanding.Task) bool {
	if task.ShardKey() == lagoonlanding.NoShardKey {
		return true
	}
	return acceptor.config.Ownership().Has(acceptor.config.Clock.Now(), task.ShardKey())
}

// run runs the task, and calls OnProcessEnded if the process of the backend server has ended.
func (acceptor *Acceptor) run(ctx context.Context, pass *gatekeeper.Pass, task lagoonlanding.Task) lagoonlanding.Result {
	run, ok := acceptor.startRun(task)
	if !ok {
		return acceptor.quarantinedResult()
	}
	result := acceptor.config.Runner.Run(ctx, pass.ID(), acceptor.config.Address, task)
	acceptor.heed(pass, result.Advice())
	pass.Observe(result)
	// A lost connection alone does not mean that the process has ended.
	crashed := result.Reason() == lagoonlanding.ReasonConnectionLost && ctx.Err() == nil && acceptor.config.Runner.HasEnded(ctx, acceptor.config.Address)
	if crashed {
		acceptor.recordCrash(pass.ID())
	}
	if crashed || result.Reason() == lagoonlanding.ReasonNoUpstream {
		acceptor.config.OnProcessEnded(pass.ID())
	}
	if acceptor.config.Quarantine.Finish(acceptor.config.Clock.Now(), run, crashed) {
		acceptor.config.OnCrashRecorded()
	}
	return result
}

// heed passes on what the backend server says about itself, and logs when its limit changes.
func (acceptor *Acceptor) heed(pass *gatekeeper.Pass, advice lagoonlanding.Advice) {
	if !advice.IsGiven() {
		return
	}
	if id := pass.ID(); advice.IsLeaving() {
		if known := acceptor.leaving.Swap(&id); known == nil || *known != id {
			acceptor.config.OnLeaving(id)
		}
	}
	if previous, current := pass.Advise(advice); previous != current {
		acceptor.config.Log.WithFields(logrus.Fields{
			"backend-server": pass.ID().String(), "limit": current, "previous-limit": previous,
		}).Info("Backend server changed the limit of tasks per second that it accepts.")
	}
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

// finishOnClose frees the slot once the body is closed.
type finishOnClose struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

func (finishonclose *finishOnClose) finish() { finishonclose.once.Do(finishonclose.end) }

// Close closes the body and frees the slot.
func (finishonclose *finishOnClose) Close() error {
	defer finishonclose.finish()
	return finishonclose.ReadCloser.Close()
}
