package lagoonlanding

import "time"

// Outcome is the execution status of a request.
type Outcome uint8

// The outcomes of a request.
const (
	// OutcomeAnswered means that the reply contains the backend server's complete response.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun means that no backend server has run the request or will run it.
	OutcomeNotRun
	// OutcomeUnknown means that a backend server may have run the request.
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

// Reason is the cause of a refusal or of an unknown outcome.
type Reason string

// The reasons for refusals and unknown outcomes.
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
	ReasonUpstreamLimited  Reason = "upstream-limited"
	ReasonUpstreamBytes    Reason = "upstream-bytes"
	ReasonMemory           Reason = "memory"
	ReasonNoUpstream       Reason = "no-upstream"
	ReasonConnectionLost   Reason = "connection-lost"
	ReasonMismatchedAnswer Reason = "mismatched-answer"
	ReasonLinkBudget       Reason = "link-budget"
	ReasonShuttingDown     Reason = "shutting-down"
	ReasonVersion          Reason = "unsupported-version"
	ReasonUnknownKey       Reason = "unknown-key"
)

// ReplyConfig holds the fields of a Reply.
type ReplyConfig struct {
	// RequestID is the ID of the request.
	RequestID string
	// Outcome is the execution status of the request.
	Outcome Outcome
	// Reason is the cause if there is no response.
	Reason Reason
	// Status is the HTTP status of the backend server's response.
	Status int
	// Headers are the header fields of the backend server's response.
	Headers []Header
	// Body is the complete body of the backend server's response.
	Body []byte
	// RetryAfter is when a retry may succeed; the zero time if that is unknown.
	RetryAfter time.Time
	// Owner is the instance that determined the outcome.
	Owner Instance
	// Repeated means that the response is that of an earlier attempt.
	Repeated bool
}

// Reply is the result of a request as returned to the caller.
type Reply struct {
	config ReplyConfig
}

// NewReply returns a reply with the given configuration.
func NewReply(config ReplyConfig) Reply { return Reply{config: config} }

// Refuse returns a reply with OutcomeNotRun.
func Refuse(request Request, reason Reason) Reply {
	return Reply{config: ReplyConfig{RequestID: request.ID(), Outcome: OutcomeNotRun, Reason: reason}}
}

// UnknownOutcome returns a reply with OutcomeUnknown.
func UnknownOutcome(request Request, reason Reason) Reply {
	return Reply{config: ReplyConfig{RequestID: request.ID(), Outcome: OutcomeUnknown, Reason: reason}}
}

// RequestID returns the ID of the request.
func (reply Reply) RequestID() string { return reply.config.RequestID }

// Outcome returns the execution status of the request.
func (reply Reply) Outcome() Outcome { return reply.config.Outcome }

// Reason returns the cause if there is no response.
func (reply Reply) Reason() Reason { return reply.config.Reason }

// Status returns the HTTP status of the backend server's response.
func (reply Reply) Status() int { return reply.config.Status }

// Headers returns the header fields of the backend server's response.
func (reply Reply) Headers() []Header { return reply.config.Headers }

// Body returns the complete body of the backend server's response.
func (reply Reply) Body() []byte { return reply.config.Body }

// RetryAfter returns when a retry may succeed; the zero time if that is unknown.
func (reply Reply) RetryAfter() time.Time { return reply.config.RetryAfter }

// Owner returns the instance that determined the outcome.
func (reply Reply) Owner() Instance { return reply.config.Owner }

// IsRepeated reports whether the response is that of an earlier attempt.
func (reply Reply) IsRepeated() bool { return reply.config.Repeated }

// WithRetryAfter returns a copy with the time at which a retry may succeed.
func (reply Reply) WithRetryAfter(at time.Time) Reply {
	reply.config.RetryAfter = at
	return reply
}

// WithOwner returns a copy with the instance that determined the outcome.
func (reply Reply) WithOwner(owner Instance) Reply {
	reply.config.Owner = owner
	return reply
}

// AsRepeat returns a copy of an earlier attempt's reply as the reply to a retry.
func (reply Reply) AsRepeat(requestID string) Reply {
	reply.config.RequestID = requestID
	reply.config.Repeated = true
	return reply
}
