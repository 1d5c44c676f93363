package encoder

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// JoinRequest is the wire format of a request to join or leave a group.
type JoinRequest struct {
	Group    GroupID
	Instance Instance
	Leaving  bool
}

// FromJoinRequest encodes the request.
func FromJoinRequest(request lagoonlanding.JoinRequest) JoinRequest {
	return JoinRequest{
		Group: FromGroupID(request.Group()), Instance: FromInstance(request.Instance()), Leaving: request.IsLeaving(),
	}
}

// Value decodes the request.
func (joinrequest JoinRequest) Value(time.Time) (lagoonlanding.JoinRequest, error) {
	group, err := joinrequest.Group.Value()
	if err != nil {
		return lagoonlanding.JoinRequest{}, err
	}
	return lagoonlanding.NewJoinRequest(group, joinrequest.Instance.Value(), joinrequest.Leaving), nil
}

// JoinReply is the wire format of the reply to a join request.
type JoinReply struct {
	// Noted reports whether a later layout will include the change.
	Noted bool
}

// FromJoinReply encodes the reply.
func FromJoinReply(reply lagoonlanding.JoinReply) JoinReply { return JoinReply{Noted: reply.IsNoted()} }

// Value decodes the reply.
func (joinreply JoinReply) Value(time.Time) (lagoonlanding.JoinReply, error) {
	return lagoonlanding.NewJoinReply(joinreply.Noted), nil
}

// Attempt is the wire format of the deduplication record of a request.
type Attempt struct {
	Key string
	// Left is the time remaining until the record expires.
	Left   time.Duration
	Done   bool
	Reply  Reply
	Digest uint64
}

// HandoverRequest is the wire format of a shard handover.
type HandoverRequest struct {
	Group GroupID
	// Version is the version of the layout that moves the shard.
	Version uint64
	Shard   int
	From    InstanceID
	To      InstanceID
	// Since is the store revision from which the deduplication records are complete.
	Since    uint64
	Attempts []Attempt
}

// FromHandoverRequest encodes the request; deadlines are sent as the time remaining from now.
func FromHandoverRequest(request lagoonlanding.HandoverRequest, now time.Time) HandoverRequest {
	message := HandoverRequest{
		Group: FromGroupID(request.Group()), Version: request.Version(), Shard: request.Shard(),
		From: FromInstanceID(request.From()), To: FromInstanceID(request.To()), Since: request.Since(),
	}
	for _, attempt := range request.Attempts() {
		wireattempt := Attempt{Key: attempt.Key(), Left: remaining(attempt.Expires(), now), Done: attempt.IsDone(), Digest: attempt.Digest()}
		if attempt.IsDone() {
			wireattempt.Reply = FromReply(attempt.Reply(), now)
		}
		message.Attempts = append(message.Attempts, wireattempt)
	}
	return message
}

// Value decodes the request; deadlines are computed from now.
func (handoverrequest HandoverRequest) Value(now time.Time) (lagoonlanding.HandoverRequest, error) {
	group, err := handoverrequest.Group.Value()
	if err != nil {
		return lagoonlanding.HandoverRequest{}, err
	}
	if handoverrequest.Shard < 0 || handoverrequest.Shard >= MaxShards {
		return lagoonlanding.HandoverRequest{}, fmt.Errorf("handover of invalid shard %d", handoverrequest.Shard)
	}
	config := lagoonlanding.HandoverConfig{
		Group: group, Version: handoverrequest.Version, Shard: handoverrequest.Shard,
		From: handoverrequest.From.Value(), To: handoverrequest.To.Value(), Since: handoverrequest.Since,
	}
	for _, wireattempt := range handoverrequest.Attempts {
		attempt, err := wireattempt.value(now)
		if err != nil {
			return lagoonlanding.HandoverRequest{}, fmt.Errorf("deduplication record %q: %w", wireattempt.Key, err)
		}
		config.Attempts = append(config.Attempts, attempt)
	}
	return lagoonlanding.NewHandoverRequest(config), nil
}

func (attempt Attempt) value(now time.Time) (lagoonlanding.Attempt, error) {
	expires := deadlineAfter(attempt.Left, now)
	var reply lagoonlanding.Reply
	if attempt.Done {
		var err error
		if reply, err = attempt.Reply.Value(now); err != nil {
			return lagoonlanding.Attempt{}, err
		}
	}
	return lagoonlanding.NewAttempt(attempt.Key, expires, attempt.Done, reply).WithDigest(attempt.Digest), nil
}

// HandoverReply is the wire format of the reply to a handover.
type HandoverReply struct {
	Status uint8
}

// FromHandoverReply encodes the reply.
func FromHandoverReply(reply lagoonlanding.HandoverReply) HandoverReply {
	return HandoverReply{Status: uint8(reply.Status())}
}

// Value decodes the reply.
func (handoverreply HandoverReply) Value(time.Time) (lagoonlanding.HandoverReply, error) {
	status, err := parseEnum(handoverreply.Status, lagoonlanding.HandoverAccepted, lagoonlanding.HandoverLate)
	if err != nil {
		return lagoonlanding.HandoverReply{}, fmt.Errorf("reply to a handover: %w", err)
	}
	return lagoonlanding.NewHandoverReply(status), nil
}
