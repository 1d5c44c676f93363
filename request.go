package lagoonlanding

import "time"

// Key is the unit of exclusive ownership: a name within a workspace of a service.
type Key struct {
	service   string
	workspace string
	name      string
}

// NewKey returns the key with the given service, workspace and name.
func NewKey(service, workspace, name string) Key {
	return Key{service: service, workspace: workspace, name: name}
}

// Service returns the name of the service.
func (key Key) Service() string { return key.service }

// Workspace returns the name of the workspace.
func (key Key) Workspace() string { return key.workspace }

// Name returns the caller's part of the key; it is empty for services that are not sharded.
func (key Key) Name() string { return key.name }

// Header is one header field of a request or reply.
type Header struct {
	name  string
	value string
}

// NewHeader returns a header field.
func NewHeader(name, value string) Header { return Header{name: name, value: value} }

// Name returns the canonical name of the field.
func (header Header) Name() string { return header.name }

// Value returns the value of the field.
func (header Header) Value() string { return header.value }

// Ticket marks the time of a caller's first attempt, as a store revision and a wall time that a daemon issued to the caller.
type Ticket struct {
	revision uint64
	issued   time.Time
}

// NewTicket returns a ticket with the revision and the wall time of its issue.
func NewTicket(revision uint64, issued time.Time) Ticket {
	return Ticket{revision: revision, issued: issued}
}

// Revision returns the store revision that the issuing daemon had reached.
func (ticket Ticket) Revision() uint64 { return ticket.revision }

// Issued returns the wall time of the issue.
func (ticket Ticket) Issued() time.Time { return ticket.issued }

// IsZero reports whether the caller sent no ticket.
func (ticket Ticket) IsZero() bool { return ticket.revision == 0 }

// RequestConfig holds the fields of a Request.
type RequestConfig struct {
	// ID uniquely identifies the request.
	ID string
	// Tenant is the name of the caller's tenant.
	Tenant string
	// Class is the name of the request's class of service.
	Class string
	// Key is the key that the route extracts.
	Key Key
	// Method is the HTTP method.
	Method string
	// Path is the path and query sent to the backend server.
	Path string
	// Headers are the header fields sent to the backend server.
	Headers []Header
	// Body is the complete body.
	Body []byte
	// Deadline is when the caller stops waiting, on the local clock.
	Deadline time.Time
	// Idempotent means that the request can safely run more than once.
	Idempotent bool
	// IdempotencyKey identifies the request across the caller's retries.
	IdempotencyKey string
	// Ticket marks the time of the caller's first attempt.
	Ticket Ticket
	// Hops is the number of daemons that the request has passed through.
	Hops int
	// SetVersion is the version of the published set that the request was routed by.
	SetVersion uint64
}

// Request is a caller's request, routed to a service and key.
type Request struct {
	config RequestConfig
}

// NewRequest returns a request with the given configuration.
func NewRequest(config RequestConfig) Request { return Request{config: config} }

// ID returns the unique identifier of the request.
func (request Request) ID() string { return request.config.ID }

// Tenant returns the name of the caller's tenant.
func (request Request) Tenant() string { return request.config.Tenant }

// Class returns the name of the request's class of service.
func (request Request) Class() string { return request.config.Class }

// Key returns the key that the route extracted.
func (request Request) Key() Key { return request.config.Key }

// Method returns the HTTP method.
func (request Request) Method() string { return request.config.Method }

// Path returns the path and query sent to the backend server.
func (request Request) Path() string { return request.config.Path }

// Headers returns the header fields sent to the backend server.
func (request Request) Headers() []Header { return request.config.Headers }

// Body returns the complete body.
func (request Request) Body() []byte { return request.config.Body }

// Deadline returns when the caller stops waiting.
func (request Request) Deadline() time.Time { return request.config.Deadline }

// IsIdempotent reports whether the request can safely run more than once.
func (request Request) IsIdempotent() bool { return request.config.Idempotent }

// IdempotencyKey returns the key that identifies the request across the caller's retries.
func (request Request) IdempotencyKey() string { return request.config.IdempotencyKey }

// Ticket returns the ticket that marks the time of the caller's first attempt.
func (request Request) Ticket() Ticket { return request.config.Ticket }

// Hops returns the number of daemons that the request has passed through.
func (request Request) Hops() int { return request.config.Hops }

// SetVersion returns the version of the published set that the request was routed by.
func (request Request) SetVersion() uint64 { return request.config.SetVersion }

// Forwarded returns a copy for the next daemon, with one more hop.
func (request Request) Forwarded() Request {
	request.config.Hops++
	return request
}
