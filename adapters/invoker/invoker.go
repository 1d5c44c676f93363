package invoker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// The errors of an answer that must not be passed on as whole.
var (
	// ErrMismatched says that the answer belongs to another request.
	ErrMismatched = errors.New("the answer is for another request")
	// ErrTooLarge says that the answer is above the bound.
	ErrTooLarge = errors.New("the answer is too large")
)

const (
	defaultMaxAnswerBytes = 1 << 20
	idleTimeout           = 30 * time.Second
)

// Config holds the parts of an Invoker.
type Config struct {
	// Address is the host and port of the backend server.
	Address string
	// Connections bounds the connections to it; zero for no bound.
	Connections int
	// MaxAnswerBytes bounds an answer; zero for the default.
	MaxAnswerBytes int64
	// Clock tells the time that remains to a deadline.
	Clock lagoonlanding.Clock
}

// Invoker sends requests to one backend server; it never repeats one.
type Invoker struct {
	config Config
	client *http.Client
}

var _ lagoonlanding.Upstream = (*Invoker)(nil)

// New returns the invoker that the configuration describes.
func New(config Config) *Invoker {
	if config.MaxAnswerBytes == 0 {
		config.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	transport := &http.Transport{
		MaxConnsPerHost:     config.Connections,
		MaxIdleConnsPerHost: max(config.Connections, 1),
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	return &Invoker{config: config, client: client}
}

// Serve runs the request; ErrNotSent says that the backend server never got it, other errors that it may have run.
func (invoker *Invoker) Serve(ctx context.Context, request lagoonlanding.Request, fence lagoonlanding.Fence) (lagoonlanding.Reply, error) {
	// A request that never got a connection has not left this process.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	message, err := invoker.message(ctx, request, fence)
	if err != nil {
		return lagoonlanding.Reply{}, errors.Join(lagoonlanding.ErrNotSent, err)
	}
	response, err := invoker.client.Do(message)
	if err != nil && !connected.Load() {
		return lagoonlanding.Reply{}, fmt.Errorf("connect to %s: %w: %w", invoker.config.Address, lagoonlanding.ErrNotSent, err)
	}
	if err != nil {
		return lagoonlanding.Reply{}, fmt.Errorf("send to %s: %w", invoker.config.Address, err)
	}
	defer func() { _ = response.Body.Close() }()
	return invoker.reply(request, response)
}

// Close drops the idle connections.
func (invoker *Invoker) Close() { invoker.client.CloseIdleConnections() }

func (invoker *Invoker) message(ctx context.Context, request lagoonlanding.Request, fence lagoonlanding.Fence) (*http.Request, error) {
	message, err := http.NewRequestWithContext(ctx, request.Method(), "http://"+invoker.config.Address+request.Path(), http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("make the request: %w", err)
	}
	// A body that can't be read twice keeps the transport from sending the request again by itself.
	message.Body = io.NopCloser(&onceReader{rest: request.Body()})
	message.GetBody = nil
	message.ContentLength = int64(len(request.Body()))
	for _, header := range request.Headers() {
		message.Header.Add(header.Name(), header.Value())
	}
	setHeader(message, HeaderRequestID, request.ID())
	setHeader(message, HeaderIdempotencyKey, request.IdempotencyKey())
	setHeader(message, HeaderTenant, request.Tenant())
	setHeader(message, HeaderKey, keyText(request.Key()))
	setHeader(message, HeaderDeadline, invoker.remaining(request))
	fenceText := ""
	if !fence.IsZero() {
		fenceText = FormatFence(fence)
	}
	setHeader(message, HeaderFence, fenceText)
	setHeader(message, HeaderFenceUntil, FormatFenceUntil(fence))
	return message, nil
}

func (invoker *Invoker) remaining(request lagoonlanding.Request) string {
	if request.Deadline().IsZero() {
		return ""
	}
	remaining := request.Deadline().Sub(invoker.config.Clock.Now())
	return strconv.FormatInt(max(remaining.Milliseconds(), 0), 10)
}

func (invoker *Invoker) reply(request lagoonlanding.Request, response *http.Response) (lagoonlanding.Reply, error) {
	if echo := response.Header.Get(HeaderRequestID); echo != request.ID() {
		return lagoonlanding.Reply{}, fmt.Errorf("answer with ID %q to %q: %w", echo, request.ID(), ErrMismatched)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, invoker.config.MaxAnswerBytes+1))
	if err != nil {
		return lagoonlanding.Reply{}, fmt.Errorf("read the answer of %s: %w", invoker.config.Address, err)
	}
	if response.Header.Get(HeaderNotRun) == "true" {
		return lagoonlanding.Refuse(request, lagoonlanding.ReasonUpstreamRefused), nil
	}
	if int64(len(body)) > invoker.config.MaxAnswerBytes {
		return lagoonlanding.Reply{}, ErrTooLarge
	}
	return lagoonlanding.NewReply(lagoonlanding.ReplyConfig{
		RequestID: request.ID(),
		Outcome:   lagoonlanding.OutcomeAnswered,
		Status:    response.StatusCode,
		Headers:   headers(response.Header),
		Body:      body,
	}), nil
}

// setHeader replaces what the caller sent under the name, so that no caller can pose as the daemon.
func setHeader(message *http.Request, name, value string) {
	message.Header.Del(name)
	if value != "" {
		message.Header.Set(name, value)
	}
}

func keyText(key lagoonlanding.Key) string {
	if key.Name() == "" {
		return ""
	}
	return key.Workspace() + "/" + key.Name()
}

// headers leaves out the fields that hold for one connection only and those between daemon and backend server.
func headers(fields http.Header) []lagoonlanding.Header {
	var passed []lagoonlanding.Header
	for name, values := range fields {
		if isHopHeader(name) || strings.HasPrefix(name, "Lagoonlanding-") {
			continue
		}
		for _, value := range values {
			passed = append(passed, lagoonlanding.NewHeader(name, value))
		}
	}
	return passed
}

func isHopHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	}
	return false
}
