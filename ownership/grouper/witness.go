package grouper

import (
	"slices"

	"lagoonlanding.example/lagoonlanding"
)

// nextWitnesses returns the witnesses of the next layout: the eligible current ones, supplemented by instances in other zones.
//
// A layout replaces at most one witness, so that the members' leases keep their majority across the change.
func nextWitnesses(config ProposalConfig, members []lagoonlanding.Member) []lagoonlanding.Instance {
	current := config.Record.Current().Witnesses()
	if len(current) >= WitnessCount && haveDistinctZones(current) && firstToReplace(config, current) < 0 && !needsStoreMajority(config, current) {
		// The common case avoids the iteration over all instances of the fleet.
		return current
	}
	candidates := candidatesOf(config, members)
	if replaceable := firstToReplace(config, current); replaceable >= 0 {
		if hasReplacement(current, candidates) {
			kept := slices.Delete(slices.Clone(current), replaceable, replaceable+1)
			return addWitnesses(kept, candidates, len(current))
		}
		return reduceToOne(config, current)
	}
	if len(current) < WitnessCount {
		// An even number of witnesses tolerates no more failures than one witness fewer.
		grown := addWitnesses(current, candidates, WitnessCount)
		if len(grown) == WitnessCount {
			return grown
		}
		return current
	}
	if spread := spreadZones(current, candidates); !slices.Equal(spread, current) {
		return spread
	}
	return increaseStoreMajority(config, current, candidates)
}

// needsStoreMajority reports whether a group has members in the store's regions but no majority of its witnesses there.
//
// During a network partition between regions, the side with the majority keeps the leases, but only the side with the store can write
// a layout without the lost members.
func needsStoreMajority(config ProposalConfig, current []lagoonlanding.Instance) bool {
	count := 0
	for _, witness := range current {
		if config.StoreRegions[witness.Region()] {
			count++
		}
	}
	hasMembersThere := slices.ContainsFunc(config.Record.Current().Members(), func(member lagoonlanding.Member) bool {
		return config.StoreRegions[member.Instance().Region()]
	})
	return hasMembersThere && count <= len(current)/2
}

// increaseStoreMajority replaces one witness by a candidate in a store's region if the group has no majority of its witnesses there.
func increaseStoreMajority(config ProposalConfig, current, candidates []lagoonlanding.Instance) []lagoonlanding.Instance {
	if !needsStoreMajority(config, current) {
		return current
	}
	for i, witness := range slices.Backward(current) {
		if config.StoreRegions[witness.Region()] {
			continue
		}
		for _, candidate := range candidates {
			if config.StoreRegions[candidate.Region()] && zoneCount(current, candidate.AvailabilityZone()) == 0 {
				replaced := slices.Clone(current)
				replaced[i] = candidate
				return replaced
			}
		}
	}
	return current
}

// candidatesOf returns the eligible instances, members of the group first.
func candidatesOf(config ProposalConfig, members []lagoonlanding.Member) []lagoonlanding.Instance {
	var candidates []lagoonlanding.Instance
	known := make(map[string]bool)
	for _, member := range members {
		if member.State() == lagoonlanding.MemberActive && !config.Unreachable[member.ID()] {
			candidates = append(candidates, member.Instance())
			known[member.Instance().PeerAddress()] = true
		}
	}
	for _, instance := range config.Candidates {
		if isEligible(config, instance) && !known[instance.PeerAddress()] {
			candidates = append(candidates, instance)
			known[instance.PeerAddress()] = true
		}
	}
	return candidates
}

// haveDistinctZones reports whether no two witnesses share an availability zone.
func haveDistinctZones(witnesses []lagoonlanding.Instance) bool {
	for _, witness := range witnesses {
		if zoneCount(witnesses, witness.AvailabilityZone()) > 1 {
			return false
		}
	}
	return true
}

func sameAddress(instance lagoonlanding.Instance) func(lagoonlanding.Instance) bool {
	return func(other lagoonlanding.Instance) bool { return other.PeerAddress() == instance.PeerAddress() }
}

func isEligible(config ProposalConfig, instance lagoonlanding.Instance) bool {
	return !config.Unreachable[instance.ID()] && !config.Lost[instance.ID()] && !config.Leaving[instance.ID()] &&
		!config.OutOfServiceZones[instance.AvailabilityZone()]
}

// firstToReplace returns the index of a witness to replace, unreachable or lost ones before other ineligible ones, or a negative number if all are eligible.
func firstToReplace(config ProposalConfig, current []lagoonlanding.Instance) int {
	for i, witness := range current {
		if config.Unreachable[witness.ID()] || config.Lost[witness.ID()] {
			return i
		}
	}
	return slices.IndexFunc(current, func(witness lagoonlanding.Instance) bool { return !isEligible(config, witness) })
}

// reduceToOne keeps one witness if some leave permanently without a replacement, since a majority that includes terminated witnesses
// fails sooner.
//
// Witnesses that are merely unreachable stay, since this instance may be the disconnected one.
func reduceToOne(config ProposalConfig, current []lagoonlanding.Instance) []lagoonlanding.Instance {
	hasLeaving := slices.ContainsFunc(current, func(witness lagoonlanding.Instance) bool { return config.Leaving[witness.ID()] })
	eligible := slices.IndexFunc(current, func(witness lagoonlanding.Instance) bool { return isEligible(config, witness) })
	if !hasLeaving || eligible < 0 {
		return current
	}
	return []lagoonlanding.Instance{current[eligible]}
}

func hasReplacement(current, candidates []lagoonlanding.Instance) bool {
	return slices.ContainsFunc(candidates, func(candidate lagoonlanding.Instance) bool {
		return !slices.ContainsFunc(current, sameAddress(candidate))
	})
}

// addWitnesses adds candidates up to the count, those in zones without a witness first.
func addWitnesses(kept, candidates []lagoonlanding.Instance, count int) []lagoonlanding.Instance {
	witnesses := slices.Clone(kept)
	for _, newZonesOnly := range []bool{true, false} {
		for _, candidate := range candidates {
			if len(witnesses) >= count || slices.ContainsFunc(witnesses, sameAddress(candidate)) {
				continue
			}
			if newZonesOnly && zoneCount(witnesses, candidate.AvailabilityZone()) > 0 {
				continue
			}
			witnesses = append(witnesses, candidate)
		}
	}
	return witnesses
}

func zoneCount(instances []lagoonlanding.Instance, zone string) int {
	count := 0
	for _, instance := range instances {
		if instance.AvailabilityZone() == zone {
			count++
		}
	}
	return count
}

// spreadZones replaces one witness that shares its zone with another by a candidate in a zone without a witness.
func spreadZones(current, candidates []lagoonlanding.Instance) []lagoonlanding.Instance {
	for i, witness := range slices.Backward(current) {
		if zoneCount(current, witness.AvailabilityZone()) < 2 {
			continue
		}
		for _, candidate := range candidates {
			if zoneCount(current, candidate.AvailabilityZone()) == 0 {
				replaced := slices.Clone(current)
				replaced[i] = candidate
				return replaced
			}
		}
	}
	return current
}
