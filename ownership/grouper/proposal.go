package grouper

import (
	"cmp"
	"slices"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// MaxMembers bounds the members of a group so that the renewals to a witness stay within the traffic budget of a daemon.
	MaxMembers = 12
	// WitnessCount is the number of witnesses of a layout if enough instances are available.
	WitnessCount = 3
	// StandardWeight is the weight of a member with a standard share of the shards.
	StandardWeight = 100
)

// ProposalConfig holds the coordinator's information about a group.
type ProposalConfig struct {
	// Record is the newest record of the group.
	Record lagoonlanding.Record
	// Lost are the members that cannot hold a lease any more.
	Lost map[lagoonlanding.InstanceID]bool
	// Joining are the instances that have asked to join.
	Joining []lagoonlanding.Instance
	// Leaving are the members and witnesses that have asked to leave.
	Leaving map[lagoonlanding.InstanceID]bool
	// Released are the members that have released all shards that they lost in the current layout.
	Released map[lagoonlanding.InstanceID]bool
	// OutOfServiceZones are the availability zones that operators have taken out of service.
	OutOfServiceZones map[string]bool
	// StoreRegions are the regions in which the platform's store runs.
	StoreRegions map[string]bool
	// Unreachable are the witnesses that no longer respond.
	Unreachable map[lagoonlanding.InstanceID]bool
	// Candidates are the instances that may become witnesses in addition to the members.
	Candidates []lagoonlanding.Instance
	// Pins are the pins of the next layout; if nil, those of the record are kept.
	Pins []lagoonlanding.Pin
}

// Propose returns the layout that should follow the record's current one, or false if no change is needed.
func Propose(config ProposalConfig) (lagoonlanding.Layout, bool) {
	current := config.Record.Current()
	members := nextMembers(config)
	witnesses := nextWitnesses(config, members)
	pins := nextPins(config, members)
	if slices.Equal(members, current.Members()) && equalInstances(witnesses, current.Witnesses()) &&
		slices.Equal(pins, current.Pins()) {
		return lagoonlanding.Layout{}, false
	}
	if len(witnesses) == 0 {
		return lagoonlanding.Layout{}, false
	}
	return lagoonlanding.NewLayout(lagoonlanding.LayoutConfig{
		Version: current.Version() + 1, Shards: current.Shards(),
		Members: members, Witnesses: witnesses, Pins: pins,
	}), true
}

// FirstLayout returns the first layout of a group, with one instance as the only member and witness.
func FirstLayout(instance lagoonlanding.Instance, shards int, zoneOut bool) lagoonlanding.Layout {
	return singleMemberLayout(instance, 1, shards, zoneOut)
}

// RebuiltLayout returns the layout that follows the record after the group's witnesses have terminated, with one instance as the only
// member and witness.
func RebuiltLayout(record lagoonlanding.Record, instance lagoonlanding.Instance, zoneOut bool) lagoonlanding.Layout {
	return singleMemberLayout(instance, record.Version()+1, record.Current().Shards(), zoneOut)
}

func singleMemberLayout(instance lagoonlanding.Instance, version uint64, shards int, zoneOut bool) lagoonlanding.Layout {
	return lagoonlanding.NewLayout(lagoonlanding.LayoutConfig{
		Version: version, Shards: shards,
		Members:   []lagoonlanding.Member{lagoonlanding.NewMember(instance, stateOf(false, zoneOut), StandardWeight)},
		Witnesses: []lagoonlanding.Instance{instance},
	})
}

// NextRecord returns the record in which the layout follows the record's current one.
func NextRecord(record lagoonlanding.Record, layout lagoonlanding.Layout) lagoonlanding.Record {
	return lagoonlanding.NewRecord(record.Group(), layout, record.Current(), 0)
}

func stateOf(leaving, zoneOut bool) lagoonlanding.MemberState {
	if leaving {
		return lagoonlanding.MemberLeaving
	}
	if zoneOut {
		return lagoonlanding.MemberOutOfService
	}
	return lagoonlanding.MemberActive
}

func nextMembers(config ProposalConfig) []lagoonlanding.Member {
	var members []lagoonlanding.Member
	for _, member := range config.Record.Current().Members() {
		id := member.ID()
		wasLeaving := member.State() == lagoonlanding.MemberLeaving
		if config.Lost[id] || wasLeaving && config.Released[id] {
			continue
		}
		state := stateOf(wasLeaving || config.Leaving[id], config.OutOfServiceZones[member.Instance().AvailabilityZone()])
		members = append(members, lagoonlanding.NewMember(member.Instance(), state, member.Weight()))
	}
	for _, instance := range config.Joining {
		members = addMember(members, instance, config)
	}
	slices.SortFunc(members, compareMembers)
	return members
}

// addMember adds the instance in place of earlier incarnations, unless it is leaving, is a member already or the group is full.
func addMember(members []lagoonlanding.Member, instance lagoonlanding.Instance, config ProposalConfig) []lagoonlanding.Member {
	if config.Leaving[instance.ID()] {
		return members
	}
	// An earlier incarnation at the same address has terminated, or else the new one could not listen there.
	members = slices.DeleteFunc(members, func(member lagoonlanding.Member) bool {
		return member.ID() != instance.ID() && member.Instance().PeerAddress() == instance.PeerAddress()
	})
	known := slices.ContainsFunc(members, func(member lagoonlanding.Member) bool { return member.ID() == instance.ID() })
	if known || len(members) >= MaxMembers {
		return members
	}
	state := stateOf(false, config.OutOfServiceZones[instance.AvailabilityZone()])
	return append(members, lagoonlanding.NewMember(instance, state, StandardWeight))
}

func compareMembers(a, b lagoonlanding.Member) int {
	return CompareIDs(a.ID(), b.ID())
}

// CompareIDs orders instance IDs by name and incarnation.
func CompareIDs(a, b lagoonlanding.InstanceID) int {
	return cmp.Or(cmp.Compare(a.Name(), b.Name()), cmp.Compare(a.Incarnation(), b.Incarnation()))
}

func nextPins(config ProposalConfig, members []lagoonlanding.Member) []lagoonlanding.Pin {
	wanted := config.Pins
	if wanted == nil {
		wanted = config.Record.Current().Pins()
	}
	var pins []lagoonlanding.Pin
	for _, pin := range wanted {
		if isActive(members, pin.Owner()) {
			pins = append(pins, pin)
		}
	}
	return pins
}

func isActive(members []lagoonlanding.Member, id lagoonlanding.InstanceID) bool {
	return slices.ContainsFunc(members, func(member lagoonlanding.Member) bool {
		return member.ID() == id && member.State() == lagoonlanding.MemberActive
	})
}

func equalInstances(a, b []lagoonlanding.Instance) bool { return slices.Equal(a, b) }
