package grouper

import (
	"slices"

	"lagoonlanding.example/lagoonlanding"
)

// nextWitnesses keeps the current witnesses that are fit and fills up with instances of other zones.
//
// At most one witness is replaced by one layout, so that a member's lease keeps its majority across the change.
func nextWitnesses(config ProposalConfig, members []lagoonlanding.Member) []lagoonlanding.Instance {
	current := config.Record.Current().Witnesses()
	if len(current) >= WitnessCount && isSpread(current) && firstUnfit(config, current) < 0 && !wantsStore(config, current) {
		// The usual case must not look at all instances of the fleet.
		return current
	}
	candidates := candidatesOf(config, members)
	if unfit := firstUnfit(config, current); unfit >= 0 {
		if hasOther(current, candidates) {
			kept := slices.Delete(slices.Clone(current), unfit, unfit+1)
			return fill(kept, candidates, len(current))
		}
		return shrink(config, current)
	}
	if len(current) < WitnessCount {
		// An even number of witnesses tolerates no more losses than one fewer does.
		grown := fill(current, candidates, WitnessCount)
		if len(grown) == WitnessCount {
			return grown
		}
		return current
	}
	if spread := spread(current, candidates); !slices.Equal(spread, current) {
		return spread
	}
	return besideStore(config, current, candidates)
}

// wantsStore reports whether a group that reaches into a store's region has no majority of its witnesses there.
//
// When the regions are cut, the side with the majority keeps the leases, and only the side with the store can write a layout without the lost members.
func wantsStore(config ProposalConfig, current []lagoonlanding.Instance) bool {
	count := 0
	for _, witness := range current {
		if config.StoreRegions[witness.Region()] {
			count++
		}
	}
	reaches := slices.ContainsFunc(config.Record.Current().Members(), func(member lagoonlanding.Member) bool {
		return config.StoreRegions[member.Instance().Region()]
	})
	return reaches && count <= len(current)/2
}

// besideStore replaces one witness by a candidate beside the store if the group wants one.
func besideStore(config ProposalConfig, current, candidates []lagoonlanding.Instance) []lagoonlanding.Instance {
	if !wantsStore(config, current) {
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

// candidatesOf returns the fit instances, those of the group before others.
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
		if isFit(config, instance) && !known[instance.PeerAddress()] {
			candidates = append(candidates, instance)
			known[instance.PeerAddress()] = true
		}
	}
	return candidates
}

// isSpread reports whether no two witnesses share an availability zone.
func isSpread(witnesses []lagoonlanding.Instance) bool {
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

func isFit(config ProposalConfig, instance lagoonlanding.Instance) bool {
	return !config.Unreachable[instance.ID()] && !config.Lost[instance.ID()] && !config.Leaving[instance.ID()] &&
		!config.ZonesOut[instance.AvailabilityZone()]
}

// firstUnfit returns the index of a witness to replace, lost ones before those that leave; it is negative if all are fit.
func firstUnfit(config ProposalConfig, current []lagoonlanding.Instance) int {
	for i, witness := range current {
		if config.Unreachable[witness.ID()] || config.Lost[witness.ID()] {
			return i
		}
	}
	return slices.IndexFunc(current, func(witness lagoonlanding.Instance) bool { return !isFit(config, witness) })
}

// shrink leaves one witness if some leave for good and none can replace them: a majority that includes ended ones is lost sooner.
//
// Witnesses that are only out of reach stay, since they may be well and this instance cut off.
func shrink(config ProposalConfig, current []lagoonlanding.Instance) []lagoonlanding.Instance {
	leaves := slices.ContainsFunc(current, func(witness lagoonlanding.Instance) bool { return config.Leaving[witness.ID()] })
	fit := slices.IndexFunc(current, func(witness lagoonlanding.Instance) bool { return isFit(config, witness) })
	if !leaves || fit < 0 {
		return current
	}
	return []lagoonlanding.Instance{current[fit]}
}

func hasOther(current, candidates []lagoonlanding.Instance) bool {
	return slices.ContainsFunc(candidates, func(candidate lagoonlanding.Instance) bool {
		return !slices.ContainsFunc(current, sameAddress(candidate))
	})
}

// fill adds candidates up to the count, those in zones without a witness first.
func fill(kept, candidates []lagoonlanding.Instance, count int) []lagoonlanding.Instance {
	chosen := slices.Clone(kept)
	for _, freshZone := range []bool{true, false} {
		for _, candidate := range candidates {
			if len(chosen) >= count || slices.ContainsFunc(chosen, sameAddress(candidate)) {
				continue
			}
			if freshZone && zoneCount(chosen, candidate.AvailabilityZone()) > 0 {
				continue
			}
			chosen = append(chosen, candidate)
		}
	}
	return chosen
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

// spread replaces one witness that shares its zone with another by a candidate of a zone without one.
func spread(current, candidates []lagoonlanding.Instance) []lagoonlanding.Instance {
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
