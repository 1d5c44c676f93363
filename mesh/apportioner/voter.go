package apportioner

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Voter decides which arbiter a daemon supports; it belongs to one goroutine.
type Voter struct {
	term    time.Duration
	arbiter string
	// boundUntil is until when the daemon supports no other arbiter.
	boundUntil time.Time
	stamp      int64
	proposed   string
}

// NewVoter returns the voter of a daemon that started at the given time: an earlier process may have voted just before.
func NewVoter(started time.Time, term time.Duration) *Voter {
	return &Voter{term: term, boundUntil: started.Add(term)}
}

// Propose records the arbiter that the zone's reporter knows, and the newest stamp that it issued.
func (voter *Voter) Propose(arbiter string, stamp int64) {
	if arbiter != "" {
		voter.proposed, voter.stamp = arbiter, stamp
	}
}

// Vote returns the vote to be sent now, if there is one.
func (voter *Voter) Vote(now time.Time) []lagoonlanding.QuotaVote {
	if voter.proposed == "" || (voter.arbiter != voter.proposed && now.Before(voter.boundUntil)) {
		return nil
	}
	voter.arbiter, voter.boundUntil = voter.proposed, now.Add(voter.term)
	return []lagoonlanding.QuotaVote{lagoonlanding.NewQuotaVote(voter.arbiter, voter.stamp, 1)}
}
