package administrator

import (
	"fmt"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/administrator/encoder"
	"lagoonlanding.example/lagoonlanding/operations/confirmer"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// inspection is one group with what its witnesses know.
type inspection struct {
	now     time.Time
	group   router.Group
	answers map[lagoonlanding.InstanceID]confirmer.Answer
}

// useful returns the answers of witnesses that know the group's layout, in the order of the witnesses.
func (inspection inspection) useful() []lagoonlanding.GroupStatus {
	var statuses []lagoonlanding.GroupStatus
	for _, witness := range inspection.group.Record().Current().Witnesses() {
		status, err := inspection.answers[witness.ID()].Status()
		if err == nil && status.IsWitness() {
			statuses = append(statuses, status)
		}
	}
	return statuses
}

func (inspection inspection) form() encoder.Group {
	layout := inspection.group.Record().Current()
	form := encoder.Group{
		Group: inspection.group.Record().Group().String(), Layout: layout.Version(), Shards: layout.Shards(),
		Coordinator: inspection.coordinator(), Settled: inspection.isSettled(),
	}
	for _, witness := range layout.Witnesses() {
		form.Witnesses = append(form.Witnesses, witness.ID().String())
	}
	shards := make(map[lagoonlanding.InstanceID]int)
	for shard := range layout.Shards() {
		shards[inspection.group.Placement().Owner(shard)]++
	}
	for _, member := range layout.Members() {
		one := inspection.member(member)
		one.Shards = shards[member.ID()]
		form.Members = append(form.Members, one)
	}
	return form
}

func (inspection inspection) coordinator() string {
	for _, witness := range inspection.group.Record().Current().Witnesses() {
		status, err := inspection.answers[witness.ID()].Status()
		if err == nil && status.IsCoordinator() {
			return witness.ID().String()
		}
	}
	return ""
}

func (inspection inspection) isSettled() bool {
	return slices.ContainsFunc(inspection.useful(), lagoonlanding.GroupStatus.IsSettled)
}

func (inspection inspection) member(member lagoonlanding.Member) encoder.Member {
	form := encoder.Member{Instance: member.ID().String(), Zone: member.Instance().AvailabilityZone(), State: stateName(member.State())}
	var lapses time.Time
	for _, status := range inspection.useful() {
		for _, known := range status.Members() {
			if known.ID() == member.ID() && known.PromisedUntil().After(lapses) {
				lapses = known.PromisedUntil()
				form.Set = known.Set()
			}
		}
	}
	if !lapses.IsZero() {
		form.Lease = encoder.Left(inspection.now, lapses)
	}
	return form
}

// limits returns what the group cannot do now, and why.
func (inspection inspection) limits() []string {
	var limits []string
	record := inspection.group.Record()
	add := func(format string, args ...any) {
		limits = append(limits, fmt.Sprintf(format, args...))
	}
	if !slices.ContainsFunc(record.Current().Members(), func(member lagoonlanding.Member) bool {
		return member.State() == lagoonlanding.MemberActive
	}) {
		add("keys of %s have no owner: layout %d has no active member", record.Group(), record.Version())
		return limits
	}
	useful := len(inspection.useful())
	switch {
	case useful < record.Current().Majority():
		add("leases of %s may not be renewed: %d of %d witnesses answer from here", record.Group(), useful, len(record.Current().Witnesses()))
	case inspection.coordinator() == "":
		add("joins and losses of %s are not handled: no witness that can reach the store coordinates it", record.Group())
	case !inspection.isSettled():
		add("the next change of %s waits: layout %d is not settled", record.Group(), record.Version())
	}
	return limits
}

func stateName(state lagoonlanding.MemberState) string {
	switch state {
	case lagoonlanding.MemberActive:
		return "active"
	case lagoonlanding.MemberOutOfService:
		return "zone-out"
	case lagoonlanding.MemberLeaving:
		return "leaving"
	}
	return "unknown"
}
