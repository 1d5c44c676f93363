package drainer

import (
	"context"
	"errors"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// notReadyDelay is how long a daemon accepts requests after the start of its shutdown: clients notice within two seconds that
	// it is not ready, and later requests might not complete within the shutdown timeout.
	notReadyDelay = 2200 * time.Millisecond
	// quietPeriod is how long no request may have arrived, and none have been answered, before a daemon that is shutting down exits.
	quietPeriod = 100 * time.Millisecond
	// answerReserve is the part of the shutdown timeout that is left for the responses to requests that are still in progress.
	answerReserve = 250 * time.Millisecond
	// exitReserve is the part of the shutdown timeout that is left for the exit of the process.
	exitReserve = 150 * time.Millisecond
	// restartTime is how long a restarted daemon takes until it accepts requests again.
	restartTime = 500 * time.Millisecond
)

// ErrTimeout is the cause with which the contexts of requests end that are in progress when the shutdown timeout is nearly over.
var ErrTimeout = errors.New("the shutdown timeout of the daemon is over")

// Admission is whether a request is passed on during a shutdown.
type Admission uint8

// The kinds of admission.
const (
	// Admitted requests are passed on.
	Admitted Admission = iota + 1
	// Refused requests arrive too late to be completed and are answered that they have not run.
	Refused
	// Unread requests arrive after the last check of the shutdown; their connection is closed.
	Unread
)

// Config holds the dependencies of a Drain.
type Config struct {
	// Clock returns the current time.
	Clock lagoonlanding.Clock
}

// Drain counts the requests in progress of several servers, so that a daemon can shut down without interrupting one.
//
// A request counts from the moment its head has been read until its response has been sent. During the shutdown the last response on a
// connection closes it, so that the client sends no further request there.
type Drain struct {
	config Config
	// ended is done when the requests in progress must be answered.
	ended context.Context
	end   context.CancelCauseFunc
	// idle receives a value when the last request in progress has ended.
	idle chan struct{}

	mutex   sync.Mutex
	running int
	// lastActivity is when the last admitted request began or ended.
	lastActivity time.Time
	// acceptUntil is when the last new request is accepted, and answerBy when all must have been answered; zero before the shutdown.
	acceptUntil, answerBy time.Time
	// exitBy is when the daemon exits whatever is in progress.
	exitBy time.Time
	sealed bool
}

var _ lagoonlanding.Shutdown = (*Drain)(nil)

// New returns the drain of a daemon that is not shutting down.
func New(config Config) *Drain {
	drain := &Drain{config: config, idle: make(chan struct{}, 1)}
	drain.ended, drain.end = context.WithCancelCause(context.Background())
	return drain
}

// Begin counts a request whose head has been read and returns whether it is passed on; unless it is Unread, End must be called.
func (drain *Drain) Begin() Admission {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	if drain.sealed {
		return Unread
	}
	drain.running++
	now := drain.config.Clock.Now()
	if drain.isStopping() && now.After(drain.acceptUntil) {
		return Refused
	}
	drain.lastActivity = now
	return Admitted
}

// End counts a request as completed; its client may send another one at once, unless it was refused.
func (drain *Drain) End(admission Admission) {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	if admission == Admitted {
		drain.lastActivity = drain.config.Clock.Now()
	}
	if drain.running--; drain.running > 0 {
		return
	}
	select {
	case drain.idle <- struct{}{}:
	default:
	}
}

// Bind returns a context for the handler of a request that ends with ErrTimeout when the request must be answered; release must be called.
func (drain *Drain) Bind(ctx context.Context) (bound context.Context, release func()) {
	bound, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(drain.ended, func() { cancel(ErrTimeout) })
	return bound, func() {
		stop()
		cancel(context.Canceled)
	}
}

// IsStopping reports whether the daemon is shutting down.
func (drain *Drain) IsStopping() bool {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	return drain.isStopping()
}

func (drain *Drain) isStopping() bool { return !drain.answerBy.IsZero() }

// Stop starts the shutdown and returns when all requests must have been answered; the process must end by the deadline.
func (drain *Drain) Stop(deadline time.Time) time.Time {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	drain.exitBy = deadline.Add(-exitReserve)
	drain.answerBy = drain.exitBy.Add(-answerReserve)
	drain.acceptUntil = drain.config.Clock.Now().Add(notReadyDelay)
	if drain.answerBy.Before(drain.acceptUntil) {
		drain.acceptUntil = drain.answerBy
	}
	return drain.answerBy
}

// Accept returns the task with a deadline by which the daemon can still pass on the answer; it returns false for a task that must not run
// twice and may take longer, since it could end with the daemon, and nobody would know whether it was run.
func (drain *Drain) Accept(task lagoonlanding.Task) (lagoonlanding.Task, bool) {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	if !drain.isStopping() || !task.Deadline().After(drain.answerBy) {
		return task, true
	}
	if task.IsAtMostOnce() || !drain.config.Clock.Now().Before(drain.answerBy) {
		return task, false
	}
	return task.With(func(config *lagoonlanding.TaskConfig) { config.Deadline = drain.answerBy }), true
}

// RetryAt returns when a daemon that is shutting down can have been restarted.
func (drain *Drain) RetryAt() time.Time {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	now := drain.config.Clock.Now()
	if now.Before(drain.acceptUntil) {
		return drain.acceptUntil.Add(restartTime)
	}
	return now.Add(restartTime)
}

// Wait returns once all requests have been answered and clients have stopped sending new ones, or when the process must exit; it returns the
// number of requests that had to be ended before their answer. Stop must have been called.
func (drain *Drain) Wait() int {
	for !drain.seal() && drain.config.Clock.Now().Before(drain.answerBy) {
		drain.sleep(drain.nextCheck())
	}
	count := drain.inProgress()
	drain.end(ErrTimeout)
	for !drain.seal() && drain.config.Clock.Now().Before(drain.exitBy) {
		drain.sleep(drain.exitBy)
	}
	return count
}

// sleep waits until the time, or until no request is in progress.
func (drain *Drain) sleep(until time.Time) {
	select {
	case <-drain.idle:
	case <-drain.config.Clock.Until(until):
	}
}

// nextCheck returns when the daemon may exit if no request is in progress and none arrives.
func (drain *Drain) nextCheck() time.Time {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	quietAt := drain.lastActivity.Add(quietPeriod)
	switch {
	case drain.running > 0:
		return drain.answerBy
	case drain.acceptUntil.After(quietAt):
		return drain.acceptUntil
	}
	return quietAt
}

func (drain *Drain) inProgress() int {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	return drain.running
}

// seal rejects all further requests if none is in progress, none is accepted any more and none has arrived recently.
func (drain *Drain) seal() bool {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	now := drain.config.Clock.Now()
	drain.sealed = drain.running == 0 && !now.Before(drain.acceptUntil) && now.Sub(drain.lastActivity) >= quietPeriod
	return drain.sealed
}
