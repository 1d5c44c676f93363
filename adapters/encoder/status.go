package encoder

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// StatusRequest is the form of a question about a group.
type StatusRequest struct {
	Group GroupID
}

// FromStatusRequest returns the form of the question.
func FromStatusRequest(request lagoonlanding.StatusRequest) StatusRequest {
	return StatusRequest{Group: FromGroupID(request.Group())}
}

// Value returns the question.
func (statusrequest StatusRequest) Value(time.Time) (lagoonlanding.StatusRequest, error) {
	group, err := statusrequest.Group.Value()
	return lagoonlanding.NewStatusRequest(group), err
}

// MemberStatus is the form of what a witness knows of a member.
type MemberStatus struct {
	ID       InstanceID
	State    uint8
	Promised bool
	Left     time.Duration
	Set      uint64
}

// GroupStatus is the form of what an instance knows of a group.
type GroupStatus struct {
	Group                        GroupID
	Version                      uint64
	Acting, Settled, Blind       bool
	Witness                      bool
	Set                          uint64
	Members                      []MemberStatus
	Serving, Acquiring, Draining int
	Leased                       bool
	Left                         time.Duration
}

// FromGroupStatus returns the form of the status that is sent now.
func FromGroupStatus(status lagoonlanding.GroupStatus, now time.Time) GroupStatus {
	form := GroupStatus{
		Group: FromGroupID(status.Group()), Version: status.Version(),
		Witness: status.IsWitness(), Set: status.Set(), Acting: status.IsCoordinator(), Settled: status.IsSettled(), Blind: status.IsDisconnected(),
		Serving: status.Serving(), Acquiring: status.Acquiring(), Draining: status.Draining(),
	}
	if !status.Deadline().IsZero() {
		form.Leased, form.Left = true, status.Deadline().Sub(now)
	}
	for _, member := range status.Members() {
		one := MemberStatus{ID: FromInstanceID(member.ID()), State: uint8(member.State()), Set: member.Set()}
		if !member.PromisedUntil().IsZero() {
			one.Promised, one.Left = true, member.PromisedUntil().Sub(now)
		}
		form.Members = append(form.Members, one)
	}
	return form
}

// Value returns the status as of now.
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
	state, err := statusOf(memberstatus.State, lagoonlanding.MemberActive, lagoonlanding.MemberLeaving)
	if err != nil {
		return lagoonlanding.MemberStatus{}, err
	}
	var lapses time.Time
	if memberstatus.Promised {
		lapses = now.Add(memberstatus.Left)
	}
	return lagoonlanding.NewMemberStatus(memberstatus.ID.Value(), state, lapses, memberstatus.Set), nil
}
