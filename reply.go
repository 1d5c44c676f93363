package lagoonlanding

import "time"

// Outcome says what became of a request.
type Outcome uint8

// The outcomes of a request.
const (
	// OutcomeAnswered says that the backend server's whole answer is in the reply.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun says that no backend server has run the request or will run it.
	OutcomeNotRun
	// OutcomeUnknown says that a backend server may have run the request.
	OutcomeUnknown
)

// String returns the outcome in kebab case.
func (outcome Outcome) String() string {
	switch outcome {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not-run"
	case OutcomeUnknown:
		return "unknown"
	}
	return "invalid"
}

// Reason says why a request was refused or its outcome is unknown.
type Reason string

// The reasons of refusals and unknown outcomes.
const (
	ReasonNone             Reason = ""
	ReasonNoRoute          Reason = "no-route"
	ReasonUnknownTenant    Reason = "unknown-tenant"
	ReasonMalformed        Reason = "malformed-request"
	ReasonTooLarge         Reason = "body-too-large"
	ReasonNotReady         Reason = "not-ready"
	ReasonNoOwner          Reason = "no-owner"
	ReasonMoving           Reason = "shard-moving"
	ReasonLeaseLapsed      Reason = "lease-lapsed"
	ReasonHopLimit         Reason = "hop-limit"
	ReasonOutsideRegion    Reason = "outside-home-region"
	ReasonUnreachable      Reason = "owner-unreachable"
	ReasonQueueFull        Reason = "queue-full"
	ReasonDeadline         Reason = "deadline"
	ReasonCancelled        Reason = "cancelled"
	ReasonTenantLimit      Reason = "tenant-limit"
	ReasonLedgerFull       Reason = "ledger-full"
	ReasonTicketMissing    Reason = "ticket-missing"
	ReasonTicketExpired    Reason = "ticket-expired"
	ReasonTicketAhead      Reason = "ticket-ahead"
	ReasonTicketPredates   Reason = "ticket-predates-owner"
	ReasonKeyMissing       Reason = "idempotency-key-missing"
	ReasonInProgress       Reason = "first-try-in-progress"
	ReasonKeyReused        Reason = "idempotency-key-reused"
	ReasonAnswerNotKept    Reason = "answer-not-kept"
	ReasonQuarantined      Reason = "quarantined"
	ReasonUpstreamRefused  Reason = "upstream-refused"
	ReasonUpstreamFailed   Reason = "upstream-failed"
	ReasonUpstreamCold     Reason = "upstream-cold"
	ReasonNoUpstream       Reason = "no-upstream"
	ReasonConnectionLost   Reason = "connection-lost"
	ReasonMismatchedAnswer Reason = "mismatched-answer"
	ReasonLinkBudget       Reason = "link-budget"
	ReasonShuttingDown     Reason = "shutting-down"
	ReasonVersion          Reason = "unsupported-version"
)

// ReplyConfig holds the parts of a Reply.
type ReplyConfig struct {
	// RequestID is the ID of the request that is answered.
	RequestID string
	// Outcome says what became of the request.
	Outcome Outcome
	// Reason says why it was not answered.
	Reason Reason
	// Status is the HTTP status of the backend server's answer.
	Status int
	// Headers are the fields of the backend server's answer.
	Headers []Header
	// Body is the whole body of the backend server's answer.
	Body []byte
	// RetryAfter is when a further try may succeed; zero for never.
	RetryAfter time.Time
	// Owner is the instance that decided.
	Owner Instance
	// Repeated says that the answer is that of an earlier try.
	Repeated bool
}

// Reply is what a caller gets for a request.
type Reply struct {
	config ReplyConfig
}

// NewReply returns the reply that the configuration describes.
func NewReply(config ReplyConfig) Reply { return Reply{config: config} }

// Refuse returns a reply that says that the request was not run.
func Refuse(request Request, reason Reason) Reply {
	return Reply{config: ReplyConfig{RequestID: request.ID(), Outcome: OutcomeNotRun, Reason: reason}}
}

// Unknown returns a reply that says that the request may have run.
func Unknown(request Request, reason Reason) Reply {
	return Reply{config: ReplyConfig{RequestID: request.ID(), Outcome: OutcomeUnknown, Reason: reason}}
}

// RequestID returns the ID of the request that is answered.
func (reply Reply) RequestID() string { return reply.config.RequestID }

// Outcome returns what became of the request.
func (reply Reply) Outcome() Outcome { return reply.config.Outcome }

// Reason returns why the request was not answered.
func (reply Reply) Reason() Reason { return reply.config.Reason }

// Status returns the HTTP status of the backend server's answer.
func (reply Reply) Status() int { return reply.config.Status }

// Headers returns the fields of the backend server's answer.
func (reply Reply) Headers() []Header { return reply.config.Headers }

// Body returns the whole body of the backend server's answer.
func (reply Reply) Body() []byte { return reply.config.Body }

// RetryAfter returns when a further try may succeed.
func (reply Reply) RetryAfter() time.Time { return reply.config.RetryAfter }

// Owner returns the instance that decided.
func (reply Reply) Owner() Instance { return reply.config.Owner }

// IsRepeated reports whether the answer is that of an earlier try.
func (reply Reply) IsRepeated() bool { return reply.config.Repeated }

// RetryAt returns the reply with the time at which a further try may succeed.
func (reply Reply) RetryAt(at time.Time) Reply {
	reply.config.RetryAfter = at
	return reply
}

// By returns the reply with the instance that decided.
func (reply Reply) By(owner Instance) Reply {
	reply.config.Owner = owner
	return reply
}

// AsRepeat returns the reply of an earlier try as the answer to a later one.
func (reply Reply) AsRepeat(requestID string) Reply {
	reply.config.RequestID = requestID
	reply.config.Repeated = true
	return reply
}
