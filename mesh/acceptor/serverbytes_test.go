package acceptor

import (
	"errors"
	"io"
	"strings"
	"testing"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/budgeter"
)

func taskWithBody(size int) lagoonlanding.Task {
	return task("s", lagoonlanding.NoShardKey).With(func(config *lagoonlanding.TaskConfig) {
		config.Body, config.BodyLength = strings.NewReader(strings.Repeat("x", size)), int64(size)
	})
}

// TestCrashLowersTheBytesOfTheServer guards against a server that gets again what it has crashed with, and against counts that remain.
func TestCrashLowersTheBytesOfTheServer(t *testing.T) {
	runner := &fakeRunner{result: lagoonlanding.MayHaveRun(lagoonlanding.ReasonConnectionLost), ended: true}
	acceptor, _ := newAcceptor(runner, nil, func(lagoonlanding.BackendID) {})
	acceptor.config.ServerBytes = budgeter.NewServerBytes()
	if result := acceptor.Handle(t.Context(), taskWithBody(3<<20)); result.Reason() != lagoonlanding.ReasonConnectionLost {
		t.Fatalf("got %s", result.Reason())
	}
	result := acceptor.Handle(t.Context(), taskWithBody(3<<20))
	if result.Outcome() != lagoonlanding.OutcomeNotRun || result.Reason() != lagoonlanding.ReasonUpstreamBytes || result.RetryAt().IsZero() || runner.count != 1 {
		t.Errorf("got %v, %s, %d runs", result.Outcome(), result.Reason(), runner.count)
	}
	if held, limit, refused := acceptor.config.ServerBytes.State(); held != 0 || limit >= 3<<20 || refused != 1 {
		t.Errorf("%d bytes are held of %d, %d refused", held, limit, refused)
	}
}

// TestBodyBeyondTheBytesOfTheServerIsEnded guards against bodies without a declared length that exceed what the server may hold.
func TestBodyBeyondTheBytesOfTheServerIsEnded(t *testing.T) {
	bytes, isCancelled := budgeter.NewServerBytes(), false
	acceptor, _ := newAcceptor(&fakeRunner{}, nil, nil)
	acceptor.config.ServerBytes = bytes
	endless := taskWithBody(8 << 20).With(func(config *lagoonlanding.TaskConfig) { config.BodyLength = -1 })
	other, _ := acceptor.enterServer(taskWithBody(64<<10), func() {})
	load, _ := acceptor.enterServer(endless, func() { isCancelled = true })
	count, err := io.Copy(io.Discard, load.withCountedBody(endless).Body())
	if !errors.Is(err, errServerBytes) || !isCancelled || count > 4<<20 {
		t.Errorf("%d bytes were sent, then %v; cancelled: %t", count, err, isCancelled)
	}
	load.leave(acceptor.config.Clock.Now(), false)
	other.leave(acceptor.config.Clock.Now(), true)
	if held, _, _ := bytes.State(); held != 0 {
		t.Errorf("%d bytes are still counted", held)
	}
}

// pendingBody is a body that is received later.
type pendingBody struct {
	io.ReadCloser
	onReceived func()
}

func (pendingbody *pendingBody) OnReceived(call func()) { pendingbody.onReceived = call }

// TestSlotIsFreedOnceTheAnswerIsReceived guards against a short answer that is cut off because its slot was freed, with its connection, before it had
// arrived, and against a slot that waits for a client.
func TestSlotIsFreedOnceTheAnswerIsReceived(t *testing.T) {
	body := &pendingBody{ReadCloser: io.NopCloser(strings.NewReader("answer"))}
	answer := lagoonlanding.NewAnswer(lagoonlanding.AnswerConfig{Status: 200, Body: body, BodyLength: 6})
	runner := &fakeRunner{result: lagoonlanding.NewResult(lagoonlanding.ResultConfig{Outcome: lagoonlanding.OutcomeAnswered, Answer: answer})}
	acceptor, gate := newAcceptor(runner, nil, nil)
	acceptor.Handle(t.Context(), task("s", lagoonlanding.NoShardKey))
	if running := gate.Load().Running(); running != 1 {
		t.Errorf("%d tasks are running before the answer has been received", running)
	}
	body.onReceived()
	if running := gate.Load().Running(); running != 0 {
		t.Errorf("%d tasks are running after the answer has been received", running)
	}
}
