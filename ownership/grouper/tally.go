package grouper

import "lagoonlanding.example/lagoonlanding"

// Tally counts the witnesses of the previous layout that have cleared its members.
type Tally struct {
	record lagoonlanding.Record
	// cleared holds the witnesses that have cleared each member.
	cleared map[lagoonlanding.InstanceID]map[lagoonlanding.InstanceID]bool
	// expired holds the witnesses that have terminated and whose promises have all expired.
	expired map[lagoonlanding.InstanceID]bool
}

// NewTally returns a tally without replies for the transition to the record's current layout.
func NewTally(record lagoonlanding.Record) *Tally {
	return &Tally{
		record:  record,
		cleared: make(map[lagoonlanding.InstanceID]map[lagoonlanding.InstanceID]bool),
		expired: make(map[lagoonlanding.InstanceID]bool),
	}
}

// Version returns the layout version to which the tally applies.
func (tally *Tally) Version() uint64 { return tally.record.Version() }

// Add counts the reply of a witness and reports whether the reply applies to this layout.
func (tally *Tally) Add(witness lagoonlanding.InstanceID, reply lagoonlanding.ClearanceReply) bool {
	switch reply.Status() {
	case lagoonlanding.ClearanceExpired:
		tally.expired[witness] = true
		return true
	case lagoonlanding.ClearanceGranted:
		if reply.Version() != tally.record.Version() {
			return false
		}
		for _, member := range reply.Cleared() {
			tally.add(witness, member)
		}
		return true
	}
	return false
}

func (tally *Tally) add(witness, member lagoonlanding.InstanceID) {
	witnesses := tally.cleared[member]
	if witnesses == nil {
		witnesses = make(map[lagoonlanding.InstanceID]bool)
		tally.cleared[member] = witnesses
	}
	witnesses[witness] = true
}

// IsCleared reports whether a majority of the previous witnesses has cleared the member.
func (tally *Tally) IsCleared(member lagoonlanding.InstanceID) bool {
	prior := tally.record.Prior()
	if len(prior.Witnesses()) == 0 {
		return true
	}
	count := 0
	for _, witness := range prior.Witnesses() {
		if tally.expired[witness.ID()] || tally.cleared[member][witness.ID()] {
			count++
		}
	}
	return count >= prior.Majority()
}

// IsSettled reports whether every member of the previous layout is cleared, so that the next layout may be written.
func (tally *Tally) IsSettled() bool {
	for _, member := range tally.record.Prior().Members() {
		if !tally.IsCleared(member.ID()) {
			return false
		}
	}
	return true
}
