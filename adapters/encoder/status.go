package encoder

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// StatusRequest is the wire format of a request for the status of a group.
type StatusRequest struct {
	Group GroupID
}

// FromStatusRequest encodes the request.
func FromStatusRequest(request lagoonlanding.StatusRequest) StatusRequest {
	return StatusRequest{Group: FromGroupID(request.Group())}
}

// Value decodes the request.
func (statusrequest StatusRequest) Value(time.Time) (lagoonlanding.StatusRequest, error) {
	group, err := statusrequest.Group.Value()
	return lagoonlanding.NewStatusRequest(group), err
}

// MemberStatus is the wire format of the status of a member, as a witness sees it.
type MemberStatus struct {
	ID       InstanceID
	State    uint8
	Promised bool
	// Left is the time remaining until the promise expires if Promised is set.
	Left time.Duration
	Set  uint64
}

// GroupStatus is the wire format of the status of a group, as an instance sees it.
type GroupStatus struct {
	Group   GroupID
	Version uint64
	// Acting is set for the coordinator of the group, Settled if the next layout may be written, Blind if the store cannot be reached.
	Acting, Settled, Blind       bool
	Witness                      bool
	Set                          uint64
	Members                      []MemberStatus
	Serving, Acquiring, Draining int
	Leased                       bool
	// Left is the time remaining until the lease expires if Leased is set.
	Left time.Duration
}

// FromGroupStatus encodes the status; deadlines are sent relative to now.
func FromGroupStatus(status lagoonlanding.GroupStatus, now time.Time) GroupStatus {
	message := GroupStatus{
		Group: FromGroupID(status.Group()), Version: status.Version(),
		Witness: status.IsWitness(), Set: status.Set(), Acting: status.IsCoordinator(), Settled: status.IsSettled(), Blind: status.IsDisconnected(),
		Serving: status.Serving(), Acquiring: status.Acquiring(), Draining: status.Draining(),
	}
	if !status.Deadline().IsZero() {
		message.Leased, message.Left = true, status.Deadline().Sub(now)
	}
	for _, member := range status.Members() {
		memberstatus := MemberStatus{ID: FromInstanceID(member.ID()), State: uint8(member.State()), Set: member.Set()}
		if !member.PromisedUntil().IsZero() {
			memberstatus.Promised, memberstatus.Left = true, member.PromisedUntil().Sub(now)
		}
		message.Members = append(message.Members, memberstatus)
	}
	return message
}

// Value decodes the status; deadlines are computed from now.
func (groupstatus GroupStatus) Value(now time.Time) (lagoonlanding.GroupStatus, error) {
	group, err := groupstatus.Group.Value()
	if err != nil {
		return lagoonlanding.GroupStatus{}, err
	}
	config := lagoonlanding.GroupStatusConfig{
		Group: group, Version: groupstatus.Version,
		Witness: groupstatus.Witness, Set: groupstatus.Set, Coordinating: groupstatus.Acting, Settled: groupstatus.Settled, Disconnected: groupstatus.Blind,
		Serving: groupstatus.Serving, Acquiring: groupstatus.Acquiring, Draining: groupstatus.Draining,
	}
	if groupstatus.Leased {
		config.Deadline = now.Add(groupstatus.Left)
	}
	for _, member := range groupstatus.Members {
		status, err := member.value(now)
		if err != nil {
			return lagoonlanding.GroupStatus{}, err
		}
		config.Members = append(config.Members, status)
	}
	return lagoonlanding.NewGroupStatus(config), nil
}

func (memberstatus MemberStatus) value(now time.Time) (lagoonlanding.MemberStatus, error) {
	state, err := parseEnum(memberstatus.State, lagoonlanding.MemberActive, lagoonlanding.MemberLeaving)
	if err != nil {
		return lagoonlanding.MemberStatus{}, err
	}
	var promisedUntil time.Time
	if memberstatus.Promised {
		promisedUntil = now.Add(memberstatus.Left)
	}
	return lagoonlanding.NewMemberStatus(memberstatus.ID.Value(), state, promisedUntil, memberstatus.Set), nil
}
