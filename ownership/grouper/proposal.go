package grouper

import (
	"cmp"
	"slices"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// MaxMembers bounds a group so that a witness's renewals fit the byte budget of a daemon.
	MaxMembers = 12
	// WitnessCount is how many witnesses a layout has when enough instances live.
	WitnessCount = 3
	// PlainWeight is the weight of a member with a plain share of the shards.
	PlainWeight = 100
)

// ProposalConfig holds what the coordinator of a group knows.
type ProposalConfig struct {
	// Record is the group's newest record.
	Record lagoonlanding.Record
	// Lost are the members whose promises have lapsed.
	Lost map[lagoonlanding.InstanceID]bool
	// Joining are the instances that asked to join.
	Joining []lagoonlanding.Instance
	// Leaving are the members that asked to leave.
	Leaving map[lagoonlanding.InstanceID]bool
	// Released are the members that have let go of all that the current layout took from them.
	Released map[lagoonlanding.InstanceID]bool
	// ZonesOut are the availability zones that operators have taken out.
	ZonesOut map[string]bool
	// StoreRegions are the regions in which the platform's store runs.
	StoreRegions map[string]bool
	// Unreachable are the witnesses that no longer answer.
	Unreachable map[lagoonlanding.InstanceID]bool
	// Candidates are the instances that may become witnesses besides the members.
	Candidates []lagoonlanding.Instance
	// Pins are the wanted exceptions to the placement; nil keeps those of the record.
	Pins []lagoonlanding.Pin
}

// Propose returns the layout that should follow the record's current one; it is false if nothing should change.
func Propose(config ProposalConfig) (lagoonlanding.Layout, bool) {
	current := config.Record.Current()
	members := nextMembers(config)
	witnesses := nextWitnesses(config, members)
	pins := nextPins(config, members)
	if slices.Equal(members, current.Members()) && sameInstances(witnesses, current.Witnesses()) &&
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

// First returns the first layout of a group, with one instance as its only member and witness.
func First(instance lagoonlanding.Instance, shards int, zoneOut bool) lagoonlanding.Layout {
	return sole(instance, 1, shards, zoneOut)
}

// Rebuild returns the layout that follows the record after all its witnesses have ended.
func Rebuild(record lagoonlanding.Record, instance lagoonlanding.Instance, zoneOut bool) lagoonlanding.Layout {
	return sole(instance, record.Version()+1, record.Current().Shards(), zoneOut)
}

func sole(instance lagoonlanding.Instance, version uint64, shards int, zoneOut bool) lagoonlanding.Layout {
	return lagoonlanding.NewLayout(lagoonlanding.LayoutConfig{
		Version: version, Shards: shards,
		Members:   []lagoonlanding.Member{lagoonlanding.NewMember(instance, stateOf(false, zoneOut), PlainWeight)},
		Witnesses: []lagoonlanding.Instance{instance},
	})
}

// Succeed returns the record in which the layout follows the current one.
func Succeed(record lagoonlanding.Record, layout lagoonlanding.Layout) lagoonlanding.Record {
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
		state := stateOf(wasLeaving || config.Leaving[id], config.ZonesOut[member.Instance().AvailabilityZone()])
		members = append(members, lagoonlanding.NewMember(member.Instance(), state, member.Weight()))
	}
	for _, instance := range config.Joining {
		members = join(members, instance, config)
	}
	slices.SortFunc(members, compareMembers)
	return members
}

func join(members []lagoonlanding.Member, instance lagoonlanding.Instance, config ProposalConfig) []lagoonlanding.Member {
	if config.Leaving[instance.ID()] {
		return members
	}
	// An earlier run at the same address has ended, or the new one could not listen there.
	members = slices.DeleteFunc(members, func(member lagoonlanding.Member) bool {
		return member.ID() != instance.ID() && member.Instance().PeerAddress() == instance.PeerAddress()
	})
	known := slices.ContainsFunc(members, func(member lagoonlanding.Member) bool { return member.ID() == instance.ID() })
	if known || len(members) >= MaxMembers {
		return members
	}
	state := stateOf(false, config.ZonesOut[instance.AvailabilityZone()])
	return append(members, lagoonlanding.NewMember(instance, state, PlainWeight))
}

func compareMembers(a, b lagoonlanding.Member) int {
	return CompareIDs(a.ID(), b.ID())
}

// CompareIDs orders identities by name and incarnation.
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

func sameInstances(a, b []lagoonlanding.Instance) bool { return slices.Equal(a, b) }
