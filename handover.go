package lagoonlanding

import "time"

// Attempt is the ledger's account of one non-idempotent request.
type Attempt struct {
	key     string
	expires time.Time
	done    bool
	reply   Reply
	digest  uint64
}

// NewAttempt returns the account of the request with the idempotency key; reply is set once it is done.
func NewAttempt(key string, expires time.Time, done bool, reply Reply) Attempt {
	return Attempt{key: key, expires: expires, done: done, reply: reply}
}

// Key returns the request's idempotency key.
func (attempt Attempt) Key() string { return attempt.key }

// Expires returns until when the account is kept, on the clock of its holder.
func (attempt Attempt) Expires() time.Time { return attempt.expires }

// IsDone reports whether the reply is known.
func (attempt Attempt) IsDone() bool { return attempt.done }

// WithDigest returns the account with the digest of the request's method, path and body.
func (attempt Attempt) WithDigest(digest uint64) Attempt {
	attempt.digest = digest
	return attempt
}

// Digest returns the digest of the request's method, path and body, zero if it is not known.
func (attempt Attempt) Digest() uint64 { return attempt.digest }

// Reply returns the outcome of the request.
func (attempt Attempt) Reply() Reply { return attempt.reply }

// HandoverConfig holds the parts of a HandoverRequest.
type HandoverConfig struct {
	// Group is the group of the shard.
	Group GroupID
	// Version is the layout that moves the shard.
	Version uint64
	// Shard is the number of the shard.
	Shard int
	// From is the instance that lets go of the shard.
	From InstanceID
	// To is the instance that takes it.
	To InstanceID
	// Since is the store revision from which on the attempts are complete.
	Since uint64
	// Attempts are the recent non-idempotent requests.
	Attempts []Attempt
}

// HandoverRequest gives a shard with its recent attempts to its new owner.
type HandoverRequest struct {
	config HandoverConfig
}

// NewHandoverRequest returns the request that the configuration describes.
func NewHandoverRequest(config HandoverConfig) HandoverRequest {
	return HandoverRequest{config: config}
}

// Group returns the group of the shard.
func (handoverrequest HandoverRequest) Group() GroupID { return handoverrequest.config.Group }

// Version returns the layout that moves the shard.
func (handoverrequest HandoverRequest) Version() uint64 { return handoverrequest.config.Version }

// Shard returns the number of the shard.
func (handoverrequest HandoverRequest) Shard() int { return handoverrequest.config.Shard }

// From returns the instance that lets go of the shard.
func (handoverrequest HandoverRequest) From() InstanceID { return handoverrequest.config.From }

// To returns the instance that takes the shard.
func (handoverrequest HandoverRequest) To() InstanceID { return handoverrequest.config.To }

// Since returns the store revision from which on the attempts are complete.
func (handoverrequest HandoverRequest) Since() uint64 { return handoverrequest.config.Since }

// Attempts returns the recent non-idempotent requests to the shard.
func (handoverrequest HandoverRequest) Attempts() []Attempt { return handoverrequest.config.Attempts }

// HandoverStatus is the new owner's answer to a HandoverRequest.
type HandoverStatus uint8

// The answers to a handover.
const (
	// HandoverTaken says that the new owner serves the shard with the attempts.
	HandoverTaken HandoverStatus = iota + 1
	// HandoverBehind says that the new owner does not know the layout yet.
	HandoverBehind
	// HandoverLate says that the shard is already served or belongs to another owner.
	HandoverLate
)

// HandoverReply is the new owner's answer to a HandoverRequest.
type HandoverReply struct {
	status HandoverStatus
}

// NewHandoverReply returns the answer with its status.
func NewHandoverReply(status HandoverStatus) HandoverReply { return HandoverReply{status: status} }

// Status returns the decision of the new owner.
func (handoverreply HandoverReply) Status() HandoverStatus { return handoverreply.status }
