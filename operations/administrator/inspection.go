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

// inspection is one group with the replies of its witnesses.
type inspection struct {
	now     time.Time
	group   router.Group
	replies map[lagoonlanding.InstanceID]confirmer.Reply
}

// witnessStatuses returns the replies of the witnesses that know their role, in the order of the witnesses.
func (inspection inspection) witnessStatuses() []lagoonlanding.GroupStatus {
	var statuses []lagoonlanding.GroupStatus
	for _, witness := range inspection.group.Record().Current().Witnesses() {
		status, err := inspection.replies[witness.ID()].Status()
		if err == nil && status.IsWitness() {
			statuses = append(statuses, status)
		}
	}
	return statuses
}

func (inspection inspection) groupMessage() encoder.Group {
	layout := inspection.group.Record().Current()
	message := encoder.Group{
		Group: inspection.group.Record().Group().String(), Layout: layout.Version(), Shards: layout.Shards(),
		Coordinator: inspection.coordinator(), Settled: inspection.isSettled(),
	}
	for _, witness := range layout.Witnesses() {
		message.Witnesses = append(message.Witnesses, witness.ID().String())
	}
	shards := make(map[lagoonlanding.InstanceID]int)
	for shard := range layout.Shards() {
		shards[inspection.group.Placement().Owner(shard)]++
	}
	for _, member := range layout.Members() {
		memberMessage := inspection.memberMessage(member)
		memberMessage.Shards = shards[member.ID()]
		message.Members = append(message.Members, memberMessage)
	}
	return message
}

func (inspection inspection) coordinator() string {
	for _, witness := range inspection.group.Record().Current().Witnesses() {
		status, err := inspection.replies[witness.ID()].Status()
		if err == nil && status.IsCoordinator() {
			return witness.ID().String()
		}
	}
	return ""
}

func (inspection inspection) isSettled() bool {
	return slices.ContainsFunc(inspection.witnessStatuses(), lagoonlanding.GroupStatus.IsSettled)
}

func (inspection inspection) memberMessage(member lagoonlanding.Member) encoder.Member {
	message := encoder.Member{Instance: member.ID().String(), Zone: member.Instance().AvailabilityZone(), State: stateName(member.State())}
	var expiry time.Time
	for _, status := range inspection.witnessStatuses() {
		for _, known := range status.Members() {
			if known.ID() == member.ID() && known.PromisedUntil().After(expiry) {
				expiry = known.PromisedUntil()
				message.Set = known.Set()
			}
		}
	}
	if !expiry.IsZero() {
		message.Lease = encoder.TimeLeft(inspection.now, expiry)
	}
	return message
}

// limits returns what the group currently cannot do, and why.
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
	replying := len(inspection.witnessStatuses())
	switch {
	case replying < record.Current().Majority():
		add("leases of %s may not be renewed: %d of %d witnesses reply to this instance", record.Group(), replying, len(record.Current().Witnesses()))
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
