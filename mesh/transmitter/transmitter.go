package transmitter

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/connector"
)

// maxPrefetchedBody is the number of bytes of an answer that are read before it is forwarded: if it breaks off earlier, the request can be retried.
const maxPrefetchedBody = 64 << 10

// restartDelay is the retry delay for a daemon that refuses connections: its process is restarted within half a second.
const restartDelay = 500 * time.Millisecond

// Config holds the dependencies of a Transmitter.
type Config struct {
	// Pool holds the connections to daemons of earlier releases, with the heads of HTTP/1.1.
	Pool *connector.Pool
	// Framed holds the connections with compact heads; nil if none are sent.
	Framed *connector.Pool
	// Clock returns the current time.
	Clock lagoonlanding.Clock
	// Log receives one line per task that got no valid response.
	Log *logrus.Entry
}

// Transmitter sends tasks to other daemons over HTTP.
type Transmitter struct {
	config Config
}

var _ lagoonlanding.TaskSender = (*Transmitter)(nil)

// New returns a transmitter.
func New(config Config) *Transmitter { return &Transmitter{config: config} }

// Send sends the task to the daemon beside the backend server.
func (transmitter *Transmitter) Send(ctx context.Context, backend lagoonlanding.Backend, task lagoonlanding.Task) lagoonlanding.Result {
	request := connector.NewRequest(backend.PeerAddress(), task)
	removeTaskHeaders(request.Header)
	metadata := newTaskMetadata(transmitter.config.Clock.Now(), task)
	pool := transmitter.config.Pool
	if transmitter.config.Framed != nil && backend.AcceptsFrames() {
		pool = transmitter.config.Framed
		encodeCompactTask(request.Header, metadata)
	} else if err := encodeHeader(request.Header, headerTask, metadata); err != nil {
		transmitter.config.Log.WithField("request", task.ID()).WithError(err).Error("Cannot encode task; it was not sent.")
		return lagoonlanding.NotRun(lagoonlanding.ReasonMalformed, task.Deadline())
	}
	response, err := pool.Exchange(ctx, backend.PeerAddress(), request)
	if errors.Is(err, lagoonlanding.ErrNotSent) && errors.Is(err, syscall.ECONNREFUSED) {
		return lagoonlanding.NotRun(lagoonlanding.ReasonNoUpstream, transmitter.config.Clock.Now().Add(restartDelay))
	}
	if errors.Is(err, lagoonlanding.ErrNotSent) {
		return lagoonlanding.NotRun(lagoonlanding.ReasonUnreachable, transmitter.config.Clock.Now())
	}
	if err != nil {
		reason := connector.FailureReason(ctx)
		transmitter.config.Log.WithField("request", task.ID()).WithField("daemon", backend.ID().Daemon()).WithField("reason", reason).WithError(err).
			Info("No response from daemon; the task may have run.")
		return lagoonlanding.MayHaveRun(reason)
	}
	config, err := decodeResult(response.Header, transmitter.config.Clock.Now())
	if err != nil {
		response.Body.Close()
		transmitter.config.Log.WithField("request", task.ID()).WithField("daemon", backend.ID().Daemon()).WithError(err).Warn("Cannot decode a daemon's response; the task may have run.")
		return lagoonlanding.MayHaveRun(lagoonlanding.ReasonMismatchedAnswer)
	}
	if config.Outcome != lagoonlanding.OutcomeAnswered {
		response.Body.Close()
		return lagoonlanding.NewResult(config)
	}
	body, _, err := connector.Receive(ctx, response.Body, maxPrefetchedBody)
	if err != nil {
		return lagoonlanding.MayHaveRun(connector.FailureReason(ctx))
	}
	config.Answer = lagoonlanding.NewAnswer(lagoonlanding.AnswerConfig{
		Status: response.StatusCode, Header: connector.EndToEnd(response.Header), Body: body, BodyLength: response.ContentLength,
	})
	return lagoonlanding.NewResult(config)
}

// decodeResult decodes the metadata of a result in either form and removes them from the header.
func decodeResult(header http.Header, now time.Time) (lagoonlanding.ResultConfig, error) {
	if header.Get(headerCompactResult) != "" {
		return decodeCompactResult(header, now)
	}
	return decodeHeader[lagoonlanding.ResultConfig, resultMetadata](header, headerResult, now)
}
