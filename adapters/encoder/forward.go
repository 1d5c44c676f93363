package encoder

import (
	"errors"
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Header is the wire format of an HTTP header field.
type Header struct {
	Name  string
	Value string
}

// Request is the wire format of a forwarded request.
type Request struct {
	ID        string
	Tenant    string
	Class     string
	Service   string
	Workspace string
	Key       string
	Method    string
	Path      string
	Headers   []Header
	Body      []byte
	// Left is the time remaining until the deadline, zero for no deadline.
	Left           time.Duration
	Idempotent     bool
	IdempotencyKey string
	TicketRevision uint64
	// TicketIssued is a Unix time in milliseconds, zero for no ticket.
	TicketIssued int64
	Hops         int
	SetVersion   uint64
}

// FromRequest encodes the request; the deadline is sent as the time remaining from now.
func FromRequest(request lagoonlanding.Request, now time.Time) Request {
	message := Request{
		ID: request.ID(), Tenant: request.Tenant(), Class: request.Class(),
		Service: request.Key().Service(), Workspace: request.Key().Workspace(), Key: request.Key().Name(),
		Method: request.Method(), Path: request.Path(), Headers: fromHeaders(request.Headers()), Body: request.Body(),
		Left: remaining(request.Deadline(), now), Idempotent: request.IsIdempotent(), IdempotencyKey: request.IdempotencyKey(),
		Hops: request.Hops(), SetVersion: request.SetVersion(),
	}
	if ticket := request.Ticket(); !ticket.IsZero() {
		message.TicketRevision = ticket.Revision()
		message.TicketIssued = ticket.Issued().UnixMilli()
	}
	return message
}

// Value decodes the request; the deadline is computed from now.
func (request Request) Value(now time.Time) (lagoonlanding.Request, error) {
	if request.ID == "" || request.Service == "" || request.Method == "" {
		return lagoonlanding.Request{}, errors.New("a forwarded request has no ID, service or method")
	}
	if request.Hops < 0 {
		return lagoonlanding.Request{}, fmt.Errorf("forwarded request %s has %d hops", request.ID, request.Hops)
	}
	config := lagoonlanding.RequestConfig{
		ID: request.ID, Tenant: request.Tenant, Class: request.Class,
		Key:    lagoonlanding.NewKey(request.Service, request.Workspace, request.Key),
		Method: request.Method, Path: request.Path, Headers: toHeaders(request.Headers), Body: request.Body,
		Deadline: deadlineAfter(request.Left, now), Idempotent: request.Idempotent, IdempotencyKey: request.IdempotencyKey,
		Hops: request.Hops, SetVersion: request.SetVersion,
	}
	if request.TicketRevision != 0 {
		config.Ticket = lagoonlanding.NewTicket(request.TicketRevision, time.UnixMilli(request.TicketIssued))
	}
	return lagoonlanding.NewRequest(config), nil
}

// Reply is the wire format of the reply to a forwarded request.
type Reply struct {
	RequestID string
	Outcome   uint8
	Reason    string
	Status    int
	Headers   []Header
	Body      []byte
	// RetryIn is the time remaining until the caller may retry, zero for none.
	RetryIn  time.Duration
	Owner    Instance
	Repeated bool
}

// FromReply encodes the reply; the time to retry is sent as the time remaining from now.
func FromReply(reply lagoonlanding.Reply, now time.Time) Reply {
	return Reply{
		RequestID: reply.RequestID(), Outcome: uint8(reply.Outcome()), Reason: string(reply.Reason()),
		Status: reply.Status(), Headers: fromHeaders(reply.Headers()), Body: reply.Body(),
		RetryIn: remaining(reply.RetryAfter(), now), Owner: FromInstance(reply.Owner()), Repeated: reply.IsRepeated(),
	}
}

// Value decodes the reply; the time to retry is computed from now.
func (reply Reply) Value(now time.Time) (lagoonlanding.Reply, error) {
	outcome, err := parseEnum(reply.Outcome, lagoonlanding.OutcomeAnswered, lagoonlanding.OutcomeUnknown)
	if err != nil {
		return lagoonlanding.Reply{}, fmt.Errorf("outcome of request %s: %w", reply.RequestID, err)
	}
	if outcome == lagoonlanding.OutcomeAnswered && !lagoonlanding.IsFinalStatus(reply.Status) {
		return lagoonlanding.Reply{}, fmt.Errorf("answer to request %s has the invalid status %d", reply.RequestID, reply.Status)
	}
	return lagoonlanding.NewReply(lagoonlanding.ReplyConfig{
		RequestID: reply.RequestID, Outcome: outcome, Reason: lagoonlanding.Reason(reply.Reason),
		Status: reply.Status, Headers: toHeaders(reply.Headers), Body: reply.Body,
		RetryAfter: deadlineAfter(reply.RetryIn, now), Owner: reply.Owner.Value(), Repeated: reply.Repeated,
	}), nil
}

func fromHeaders(headers []lagoonlanding.Header) []Header {
	if len(headers) == 0 {
		return nil
	}
	wireheaders := make([]Header, len(headers))
	for i, header := range headers {
		wireheaders[i] = Header{Name: header.Name(), Value: header.Value()}
	}
	return wireheaders
}

func toHeaders(wireheaders []Header) []lagoonlanding.Header {
	if len(wireheaders) == 0 {
		return nil
	}
	headers := make([]lagoonlanding.Header, len(wireheaders))
	for i, wireheader := range wireheaders {
		headers[i] = lagoonlanding.NewHeader(wireheader.Name, wireheader.Value)
	}
	return headers
}

// ForwardCall is a forwarded request with the number by which its sender may cancel it.
type ForwardCall struct {
	Number  uint64
	Request Request
}

// Cancellation cancels the forwarded request with the number.
type Cancellation struct {
	Number uint64
}
