package encoder

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// JoinRequest is the form of a request to join or leave a group.
type JoinRequest struct {
	Group    GroupID
	Instance Instance
	Leaving  bool
}

// FromJoinRequest returns the form of the request.
func FromJoinRequest(request lagoonlanding.JoinRequest) JoinRequest {
	return JoinRequest{
		Group: FromGroupID(request.Group()), Instance: FromInstance(request.Instance()), Leaving: request.IsLeaving(),
	}
}

// Value returns the request.
func (joinrequest JoinRequest) Value(time.Time) (lagoonlanding.JoinRequest, error) {
	group, err := joinrequest.Group.Value()
	if err != nil {
		return lagoonlanding.JoinRequest{}, err
	}
	return lagoonlanding.NewJoinRequest(group, joinrequest.Instance.Value(), joinrequest.Leaving), nil
}

// JoinReply is the form of the answer to a JoinRequest.
type JoinReply struct {
	Noted bool
}

// FromJoinReply returns the form of the answer.
func FromJoinReply(reply lagoonlanding.JoinReply) JoinReply { return JoinReply{Noted: reply.IsNoted()} }

// Value returns the answer.
func (joinreply JoinReply) Value(time.Time) (lagoonlanding.JoinReply, error) {
	return lagoonlanding.NewJoinReply(joinreply.Noted), nil
}

// Attempt is the form of the account of a request.
type Attempt struct {
	Key    string
	Left   time.Duration
	Done   bool
	Reply  Reply
	Digest uint64
}

// HandoverRequest is the form of a handover.
type HandoverRequest struct {
	Group    GroupID
	Version  uint64
	Shard    int
	From     InstanceID
	To       InstanceID
	Since    uint64
	Attempts []Attempt
}

// FromHandoverRequest returns the form of the handover that is sent now.
func FromHandoverRequest(request lagoonlanding.HandoverRequest, now time.Time) HandoverRequest {
	form := HandoverRequest{
		Group: FromGroupID(request.Group()), Version: request.Version(), Shard: request.Shard(),
		From: FromInstanceID(request.From()), To: FromInstanceID(request.To()), Since: request.Since(),
	}
	for _, attempt := range request.Attempts() {
		one := Attempt{Key: attempt.Key(), Left: remaining(attempt.Expires(), now), Done: attempt.IsDone(), Digest: attempt.Digest()}
		if attempt.IsDone() {
			one.Reply = FromReply(attempt.Reply(), now)
		}
		form.Attempts = append(form.Attempts, one)
	}
	return form
}

// Value returns the handover.
func (handoverrequest HandoverRequest) Value(now time.Time) (lagoonlanding.HandoverRequest, error) {
	group, err := handoverrequest.Group.Value()
	if err != nil {
		return lagoonlanding.HandoverRequest{}, err
	}
	if handoverrequest.Shard < 0 || handoverrequest.Shard >= MaxShards {
		return lagoonlanding.HandoverRequest{}, fmt.Errorf("handover of the impossible shard %d", handoverrequest.Shard)
	}
	config := lagoonlanding.HandoverConfig{
		Group: group, Version: handoverrequest.Version, Shard: handoverrequest.Shard,
		From: handoverrequest.From.Value(), To: handoverrequest.To.Value(), Since: handoverrequest.Since,
	}
	for _, form := range handoverrequest.Attempts {
		attempt, err := form.value(now)
		if err != nil {
			return lagoonlanding.HandoverRequest{}, fmt.Errorf("attempt %q: %w", form.Key, err)
		}
		config.Attempts = append(config.Attempts, attempt)
	}
	return lagoonlanding.NewHandoverRequest(config), nil
}

func (attempt Attempt) value(now time.Time) (lagoonlanding.Attempt, error) {
	expires := deadlineOf(attempt.Left, now)
	var reply lagoonlanding.Reply
	if attempt.Done {
		var err error
		if reply, err = attempt.Reply.Value(now); err != nil {
			return lagoonlanding.Attempt{}, err
		}
	}
	return lagoonlanding.NewAttempt(attempt.Key, expires, attempt.Done, reply).WithDigest(attempt.Digest), nil
}

// HandoverReply is the form of the answer to a handover.
type HandoverReply struct {
	Status uint8
}

// FromHandoverReply returns the form of the answer.
func FromHandoverReply(reply lagoonlanding.HandoverReply) HandoverReply {
	return HandoverReply{Status: uint8(reply.Status())}
}

// Value returns the answer.
func (handoverreply HandoverReply) Value(time.Time) (lagoonlanding.HandoverReply, error) {
	status, err := statusOf(handoverreply.Status, lagoonlanding.HandoverAccepted, lagoonlanding.HandoverLate)
	if err != nil {
		return lagoonlanding.HandoverReply{}, fmt.Errorf("answer to a handover: %w", err)
	}
	return lagoonlanding.NewHandoverReply(status), nil
}
