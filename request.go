package lagoonlanding

import "time"

// Key is what a server owns exclusively: a name within a workspace of a service.
type Key struct {
	service   string
	workspace string
	name      string
}

// NewKey returns the key of a name within a workspace of a service.
func NewKey(service, workspace, name string) Key {
	return Key{service: service, workspace: workspace, name: name}
}

// Service returns the name of the service.
func (key Key) Service() string { return key.service }

// Workspace returns the name of the workspace.
func (key Key) Workspace() string { return key.workspace }

// Name returns the caller's part of the key; it is empty for services that are not divided by key.
func (key Key) Name() string { return key.name }

// Header is one field of a request or reply that is passed through.
type Header struct {
	name  string
	value string
}

// NewHeader returns the field with its name and value.
func NewHeader(name, value string) Header { return Header{name: name, value: value} }

// Name returns the canonical name of the field.
func (header Header) Name() string { return header.name }

// Value returns the value of the field.
func (header Header) Value() string { return header.value }

// Ticket dates a caller's first try of a request: a store revision and a wall time that some daemon has told the caller.
type Ticket struct {
	revision uint64
	issued   time.Time
}

// NewTicket returns the ticket of a revision and the wall time of its issue.
func NewTicket(revision uint64, issued time.Time) Ticket {
	return Ticket{revision: revision, issued: issued}
}

// Revision returns the store revision that the issuing daemon knew.
func (ticket Ticket) Revision() uint64 { return ticket.revision }

// Issued returns the wall time of the issue.
func (ticket Ticket) Issued() time.Time { return ticket.issued }

// IsZero reports whether the caller sent no ticket.
func (ticket Ticket) IsZero() bool { return ticket.revision == 0 }

// RequestConfig holds the parts of a Request.
type RequestConfig struct {
	// ID tells this caller's request from all others.
	ID string
	// Tenant is the name of the caller's tenant.
	Tenant string
	// Class is the name of the request's class of service.
	Class string
	// Key is the key that the route extracts.
	Key Key
	// Method is the HTTP method.
	Method string
	// Path is the path and query that the backend server gets.
	Path string
	// Headers are passed to the backend server.
	Headers []Header
	// Body is the whole body.
	Body []byte
	// Deadline is when the caller stops waiting, on the clock of this process.
	Deadline time.Time
	// Idempotent says that a second run does no harm.
	Idempotent bool
	// IdempotencyKey names the request across the caller's tries.
	IdempotencyKey string
	// Ticket dates the caller's first try.
	Ticket Ticket
	// Hops counts the daemons that the request has passed.
	Hops int
	// SetVersion is the version of the published set by which the request was routed.
	SetVersion uint64
}

// Request is one caller's request, routed to a service and key.
type Request struct {
	config RequestConfig
}

// NewRequest returns the request that the configuration describes.
func NewRequest(config RequestConfig) Request { return Request{config: config} }

// ID returns what tells the request from all others.
func (request Request) ID() string { return request.config.ID }

// Tenant returns the name of the caller's tenant.
func (request Request) Tenant() string { return request.config.Tenant }

// Class returns the name of the request's class of service.
func (request Request) Class() string { return request.config.Class }

// Key returns the key that the route extracted.
func (request Request) Key() Key { return request.config.Key }

// Method returns the HTTP method.
func (request Request) Method() string { return request.config.Method }

// Path returns the path and query that the backend server gets.
func (request Request) Path() string { return request.config.Path }

// Headers returns the fields that are passed to the backend server.
func (request Request) Headers() []Header { return request.config.Headers }

// Body returns the whole body.
func (request Request) Body() []byte { return request.config.Body }

// Deadline returns when the caller stops waiting.
func (request Request) Deadline() time.Time { return request.config.Deadline }

// IsIdempotent reports whether a second run does no harm.
func (request Request) IsIdempotent() bool { return request.config.Idempotent }

// IdempotencyKey returns the name of the request across the caller's tries.
func (request Request) IdempotencyKey() string { return request.config.IdempotencyKey }

// Ticket returns what dates the caller's first try.
func (request Request) Ticket() Ticket { return request.config.Ticket }

// Hops returns how many daemons the request has passed.
func (request Request) Hops() int { return request.config.Hops }

// SetVersion returns the version of the published set by which the request was routed.
func (request Request) SetVersion() uint64 { return request.config.SetVersion }

// Forwarded returns the request as the next daemon gets it.
func (request Request) Forwarded() Request {
	request.config.Hops++
	return request
}
