package lagoonlanding

import "time"

// Attempt is the deduplication record of one non-idempotent request.
type Attempt struct {
	key     string
	expires time.Time
	done    bool
	reply   Reply
	digest  uint64
}

// NewAttempt returns the deduplication record for an idempotency key; reply is set once the request is done.
func NewAttempt(key string, expires time.Time, done bool, reply Reply) Attempt {
	return Attempt{key: key, expires: expires, done: done, reply: reply}
}

// Key returns the request's idempotency key.
func (attempt Attempt) Key() string { return attempt.key }

// Expires returns when the record is discarded, on the local clock.
func (attempt Attempt) Expires() time.Time { return attempt.expires }

// IsDone reports whether the reply is known.
func (attempt Attempt) IsDone() bool { return attempt.done }

// WithDigest returns a copy with the digest of the request's method, path and body.
func (attempt Attempt) WithDigest(digest uint64) Attempt {
	attempt.digest = digest
	return attempt
}

// Digest returns the digest of the request's method, path and body, zero if it is unknown.
func (attempt Attempt) Digest() uint64 { return attempt.digest }

// Reply returns the reply to the request.
func (attempt Attempt) Reply() Reply { return attempt.reply }

// HandoverConfig holds the fields of a HandoverRequest.
type HandoverConfig struct {
	// Group is the group of the shard.
	Group GroupID
	// Version is the version of the layout that moves the shard.
	Version uint64
	// Shard is the number of the shard.
	Shard int
	// From is the instance that releases the shard.
	From InstanceID
	// To is the instance that acquires the shard.
	To InstanceID
	// Since is the store revision from which the attempts are complete.
	Since uint64
	// Attempts are the deduplication records of recent requests.
	Attempts []Attempt
}

// HandoverRequest transfers a shard and its deduplication records to the new owner.
type HandoverRequest struct {
	config HandoverConfig
}

// NewHandoverRequest returns a request with the given configuration.
func NewHandoverRequest(config HandoverConfig) HandoverRequest {
	return HandoverRequest{config: config}
}

// Group returns the group of the shard.
func (handoverrequest HandoverRequest) Group() GroupID { return handoverrequest.config.Group }

// Version returns the version of the layout that moves the shard.
func (handoverrequest HandoverRequest) Version() uint64 { return handoverrequest.config.Version }

// Shard returns the number of the shard.
func (handoverrequest HandoverRequest) Shard() int { return handoverrequest.config.Shard }

// From returns the instance that releases the shard.
func (handoverrequest HandoverRequest) From() InstanceID { return handoverrequest.config.From }

// To returns the instance that acquires the shard.
func (handoverrequest HandoverRequest) To() InstanceID { return handoverrequest.config.To }

// Since returns the store revision from which the attempts are complete.
func (handoverrequest HandoverRequest) Since() uint64 { return handoverrequest.config.Since }

// Attempts returns the deduplication records of recent requests to the shard.
func (handoverrequest HandoverRequest) Attempts() []Attempt { return handoverrequest.config.Attempts }

// HandoverStatus is the status of a HandoverReply.
type HandoverStatus uint8

// The statuses of a HandoverReply.
const (
	// HandoverAccepted means that the new owner serves the shard with the transferred attempts.
	HandoverAccepted HandoverStatus = iota + 1
	// HandoverBehind means that the new owner does not know the layout yet.
	HandoverBehind
	// HandoverLate means that the new owner already serves the shard or that it belongs to another instance.
	HandoverLate
)

// HandoverReply is the new owner's reply to a HandoverRequest.
type HandoverReply struct {
	status HandoverStatus
}

// NewHandoverReply returns a reply with the given status.
func NewHandoverReply(status HandoverStatus) HandoverReply { return HandoverReply{status: status} }

// Status returns the status of the reply.
func (handoverreply HandoverReply) Status() HandoverStatus { return handoverreply.status }
