package carrier

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/caller"
)

// heldBody is how much of an answer is read before it is passed on, in bytes, so that one that breaks off may be asked for again.
const heldBody = 64 << 10

// restartTerm is when a daemon whose machine refuses connections may be up again: its process is started anew within half a second.
const restartTerm = 500 * time.Millisecond

// Config holds what a Carrier is built from.
type Config struct {
	// Pool keeps the connections to other daemons.
	Pool *caller.Pool
	// Clock tells the time.
	Clock lagoonlanding.Clock
	// Log takes one line for each task that could not be carried.
	Log *logrus.Entry
}

// Carrier sends tasks to other daemons.
type Carrier struct {
	config Config
}

var _ lagoonlanding.TaskSender = (*Carrier)(nil)

// New returns a carrier.
func New(config Config) *Carrier { return &Carrier{config: config} }

// Send sends the task to the daemon beside the backend server.
func (carrier *Carrier) Send(ctx context.Context, backend lagoonlanding.Backend, task lagoonlanding.Task) lagoonlanding.Result {
	request := caller.NewRequest(backend.PeerAddress(), task)
	if err := write(request.Header, headerTask, newTaskTerms(carrier.config.Clock.Now(), task)); err != nil {
		carrier.config.Log.WithField("request", task.ID()).WithError(err).Error("Task cannot be encoded.")
		return lagoonlanding.NotRun(lagoonlanding.ReasonMalformed, task.Deadline())
	}
	response, err := carrier.config.Pool.Exchange(ctx, backend.PeerAddress(), request)
	if errors.Is(err, lagoonlanding.ErrNotSent) && errors.Is(err, syscall.ECONNREFUSED) {
		return lagoonlanding.NotRun(lagoonlanding.ReasonNoUpstream, carrier.config.Clock.Now().Add(restartTerm))
	}
	if errors.Is(err, lagoonlanding.ErrNotSent) {
		return lagoonlanding.NotRun(lagoonlanding.ReasonUnreachable, carrier.config.Clock.Now())
	}
	if err != nil {
		reason := caller.EndOf(ctx)
		carrier.config.Log.WithField("request", task.ID()).WithField("daemon", backend.ID().Daemon()).WithField("reason", reason).WithError(err).
			Info("Daemon gave no answer.")
		return lagoonlanding.MayHaveRun(reason)
	}
	config, err := read[lagoonlanding.ResultConfig, resultTerms](response.Header, headerResult, carrier.config.Clock.Now())
	if err != nil {
		response.Body.Close()
		carrier.config.Log.WithField("request", task.ID()).WithField("daemon", backend.ID().Daemon()).WithError(err).Warn("Answer of a daemon is unreadable.")
		return lagoonlanding.MayHaveRun(lagoonlanding.ReasonMismatchedAnswer)
	}
	if config.Outcome != lagoonlanding.OutcomeAnswered {
		response.Body.Close()
		return lagoonlanding.NewResult(config)
	}
	body, _, err := caller.Hold(response.Body, heldBody)
	if err != nil {
		return lagoonlanding.MayHaveRun(caller.EndOf(ctx))
	}
	config.Answer = lagoonlanding.NewAnswer(lagoonlanding.AnswerConfig{
		Status: response.StatusCode, Header: caller.EndToEnd(response.Header), Body: body, BodyLength: response.ContentLength,
	})
	return lagoonlanding.NewResult(config)
}
