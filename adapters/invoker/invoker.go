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

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/requester"
)

// Errors of answers that must not be forwarded to the caller.
var (
	// ErrAnswerMismatched means that the answer carries the ID of another request or none.
	ErrAnswerMismatched = errors.New("answer does not match the request")
	// ErrAnswerStatus means that the status of the answer is not that of a final response.
	ErrAnswerStatus = errors.New("answer has an invalid status")
	// ErrAnswerTooLarge means that the answer exceeds the size limit.
	ErrAnswerTooLarge = errors.New("answer exceeds the size limit")
)

const defaultMaxAnswerBytes = 1 << 20

// Config holds the dependencies and limits of an Invoker.
type Config struct {
	// Address is the host and port of the backend server.
	Address string
	// MaxConnections limits the connections to the backend server; zero means no limit.
	MaxConnections int
	// MaxAnswerBytes limits the body of an answer; zero means the default.
	MaxAnswerBytes int64
	// Clock returns the current time, from which the remaining time to a deadline is computed.
	Clock lagoonlanding.Clock
}

// Invoker sends requests to one backend server; it never sends a request twice.
type Invoker struct {
	config Config
	client *http.Client
}

var _ lagoonlanding.Upstream = (*Invoker)(nil)

// New returns an Invoker with the given configuration.
func New(config Config) *Invoker {
	if config.MaxAnswerBytes == 0 {
		config.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	transport := requester.New(requester.Config{MaxConnections: config.MaxConnections})
	client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	return &Invoker{config: config, client: client}
}

// Serve sends the request and returns the answer; ErrNotSent means that the backend server never received the request, any other error that it may have run.
func (invoker *Invoker) Serve(ctx context.Context, request lagoonlanding.Request, fence lagoonlanding.Fence) (lagoonlanding.Reply, error) {
	// A request that never got a connection was not sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	message, err := invoker.newMessage(ctx, request, fence)
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
	return invoker.readReply(request, response)
}

// Close closes the idle connections.
func (invoker *Invoker) Close() { invoker.client.CloseIdleConnections() }

func (invoker *Invoker) newMessage(ctx context.Context, request lagoonlanding.Request, fence lagoonlanding.Fence) (*http.Request, error) {
	message, err := http.NewRequestWithContext(ctx, request.Method(), "http://"+invoker.config.Address+request.Path(), http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("create the request: %w", err)
	}
	// The body cannot be rewound, which keeps the transport from resending the request on its own.
	message.Body = io.NopCloser(&onceReader{unread: request.Body()})
	message.GetBody = nil
	message.ContentLength = int64(len(request.Body()))
	for _, header := range request.Headers() {
		message.Header.Add(header.Name(), header.Value())
	}
	setHeader(message, HeaderRequestID, request.ID())
	setHeader(message, HeaderIdempotencyKey, request.IdempotencyKey())
	setHeader(message, HeaderTenant, request.Tenant())
	setHeader(message, HeaderKey, formatKey(request.Key()))
	setHeader(message, HeaderDeadline, invoker.formatDeadline(request))
	fenceValue := ""
	if !fence.IsZero() {
		fenceValue = FormatFence(fence)
	}
	setHeader(message, HeaderFence, fenceValue)
	setHeader(message, HeaderFenceUntil, FormatFenceUntil(fence))
	return message, nil
}

func (invoker *Invoker) formatDeadline(request lagoonlanding.Request) string {
	if request.Deadline().IsZero() {
		return ""
	}
	remaining := request.Deadline().Sub(invoker.config.Clock.Now())
	return strconv.FormatInt(max(remaining.Milliseconds(), 0), 10)
}

func (invoker *Invoker) readReply(request lagoonlanding.Request, response *http.Response) (lagoonlanding.Reply, error) {
	if !lagoonlanding.IsFinalStatus(response.StatusCode) {
		return lagoonlanding.Reply{}, fmt.Errorf("status %03d from %s: %w", response.StatusCode, invoker.config.Address, ErrAnswerStatus)
	}
	if id := response.Header.Get(HeaderRequestID); id != request.ID() {
		return lagoonlanding.Reply{}, fmt.Errorf("answer with request ID %q to request %q: %w", id, request.ID(), ErrAnswerMismatched)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, invoker.config.MaxAnswerBytes+1))
	if err != nil {
		return lagoonlanding.Reply{}, fmt.Errorf("read the answer from %s: %w", invoker.config.Address, err)
	}
	if response.Header.Get(HeaderNotRun) == "true" {
		return lagoonlanding.Refuse(request, lagoonlanding.ReasonUpstreamRefused), nil
	}
	if int64(len(body)) > invoker.config.MaxAnswerBytes {
		return lagoonlanding.Reply{}, ErrAnswerTooLarge
	}
	return lagoonlanding.NewReply(lagoonlanding.ReplyConfig{
		RequestID: request.ID(),
		Outcome:   lagoonlanding.OutcomeAnswered,
		Status:    response.StatusCode,
		Headers:   answerHeaders(response.Header),
		Body:      body,
	}), nil
}

// setHeader replaces any value sent by the caller, so that callers cannot forge the daemon's header fields.
func setHeader(message *http.Request, name, value string) {
	message.Header.Del(name)
	if value != "" {
		message.Header.Set(name, value)
	}
}

func formatKey(key lagoonlanding.Key) string {
	if key.Name() == "" {
		return ""
	}
	return key.Workspace() + "/" + key.Name()
}

// answerHeaders returns the header fields for the caller, without hop-by-hop fields and those between daemon and backend server.
func answerHeaders(fields http.Header) []lagoonlanding.Header {
	var forwarded []lagoonlanding.Header
	for name, values := range fields {
		if isHopByHop(name) || strings.HasPrefix(name, "Lagoonlanding-") {
			continue
		}
		for _, value := range values {
			forwarded = append(forwarded, lagoonlanding.NewHeader(name, value))
		}
	}
	return forwarded
}

func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	}
	return false
}
