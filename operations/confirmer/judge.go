package confirmer

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// LagKind says why a group is not confirmed.
type LagKind string

// The kinds of lags.
const (
	// MemberBehind says that a member with an unexpired lease applies an older set.
	MemberBehind LagKind = "member-behind"
	// WitnessBehind says that a witness applies an older set, so that it could still grant a lease to a member that does.
	WitnessBehind LagKind = "witness-behind"
	// WitnessSilent says that a witness gave no answer of use.
	WitnessSilent LagKind = "witness-silent"
	// GroupMoving says that members of the prior layout may still serve under it.
	GroupMoving LagKind = "group-moving"
)

// Lag is one reason why a set is not yet known to be in force everywhere.
type Lag struct {
	kind     LagKind
	group    lagoonlanding.GroupID
	instance lagoonlanding.InstanceID
	set      uint64
	problem  string
}

// Kind says why the group is not confirmed.
func (lag Lag) Kind() LagKind { return lag.kind }

// Group returns the group that is not confirmed.
func (lag Lag) Group() lagoonlanding.GroupID { return lag.group }

// Instance returns the instance that lags, the zero identity if it is the group as a whole.
func (lag Lag) Instance() lagoonlanding.InstanceID { return lag.instance }

// Set returns the version of the set that the instance is known to apply.
func (lag Lag) Set() uint64 { return lag.set }

// Problem returns what is known, for operators.
func (lag Lag) Problem() string { return lag.problem }

// Answer is what a witness told of its group.
type Answer struct {
	status lagoonlanding.GroupStatus
	err    error
}

// NewAnswer returns a witness's status, or the error of asking it.
func NewAnswer(status lagoonlanding.GroupStatus, err error) Answer {
	return Answer{status: status, err: err}
}

// Judge returns every reason why members of the group may serve by a set older than the version, none if it is in force.
//
// A member serves under a layout only while a majority of its witnesses keep its lease. Hence a majority of witnesses that
// keep no lease of a member that is behind, and give none to one, prove that no such member serves.
func Judge(now time.Time, version uint64, record lagoonlanding.Record, answers map[lagoonlanding.InstanceID]Answer) []Lag {
	judge := &judge{now: now, version: version, record: record, behind: make(map[lagoonlanding.InstanceID]uint64)}
	for _, witness := range record.Current().Witnesses() {
		judge.hear(witness.ID(), answers[witness.ID()])
	}
	if len(judge.lags) == 0 && len(record.Current().Witnesses()) == 0 && len(record.Current().Members()) > 0 {
		judge.lag(WitnessSilent, lagoonlanding.InstanceID{}, 0, "layout %d has no witness", record.Version())
	}
	return judge.verdict()
}

type judge struct {
	now     time.Time
	version uint64
	record  lagoonlanding.Record
	// proofs counts the witnesses that can give no lease to a member that is behind.
	proofs  int
	settled bool
	// behind are members with an unexpired lease and the set that they apply.
	behind map[lagoonlanding.InstanceID]uint64
	lags   []Lag
}

func (judge *judge) lag(kind LagKind, instance lagoonlanding.InstanceID, set uint64, format string, args ...any) {
	judge.lags = append(judge.lags, Lag{
		kind: kind, group: judge.record.Group(), instance: instance, set: set, problem: fmt.Sprintf(format, args...),
	})
}

func (judge *judge) hear(witness lagoonlanding.InstanceID, answer Answer) {
	status := answer.status
	switch {
	case answer.err != nil:
		judge.lag(WitnessSilent, witness, 0, "the witness does not answer: %v", answer.err)
		return
	case status.Version() != judge.record.Version() || !status.IsWitness():
		judge.lag(WitnessSilent, witness, status.Set(), "the witness answers for layout %d, not %d", status.Version(), judge.record.Version())
		return
	}
	judge.settled = judge.settled || status.IsSettled()
	for _, member := range status.Members() {
		if member.PromisedUntil().After(judge.now) && member.Set() < judge.version {
			judge.behind[member.ID()] = max(judge.behind[member.ID()], member.Set())
		}
	}
	if status.Set() < judge.version {
		judge.lag(WitnessBehind, witness, status.Set(), "the witness applies set %d", status.Set())
		return
	}
	judge.proofs++
}

func (judge *judge) verdict() []Lag {
	enough := judge.proofs >= judge.record.Current().Majority()
	if enough {
		// The rest of the witnesses cannot give a lease by themselves.
		judge.lags = nil
	}
	for _, member := range judge.record.Current().Members() {
		if set, ok := judge.behind[member.ID()]; ok {
			judge.lag(MemberBehind, member.ID(), set, "the member applies set %d", set)
		}
	}
	if enough && !judge.settled && judge.record.Prior().Version() > 0 {
		judge.lag(GroupMoving, lagoonlanding.InstanceID{}, 0, "the move from layout %d to %d is not settled", judge.record.Prior().Version(), judge.record.Version())
	}
	return judge.lags
}

// Status returns what the witness told, or the error of asking it.
func (answer Answer) Status() (lagoonlanding.GroupStatus, error) { return answer.status, answer.err }
