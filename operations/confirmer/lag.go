package confirmer

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// LagKind is the reason why a group is not confirmed.
type LagKind string

// The kinds of lags.
const (
	// MemberBehind means that a member with an unexpired lease applies an older set.
	MemberBehind LagKind = "member-behind"
	// WitnessBehind means that a witness applies an older set, so it could still grant a lease to a member that does.
	WitnessBehind LagKind = "witness-behind"
	// WitnessSilent means that a witness did not reply, or replied for another layout.
	WitnessSilent LagKind = "witness-silent"
	// GroupMoving means that members of the previous layout may still serve under it.
	GroupMoving LagKind = "group-moving"
)

// Lag is one reason why a set is not yet confirmed to be in force everywhere.
type Lag struct {
	kind     LagKind
	group    lagoonlanding.GroupID
	instance lagoonlanding.InstanceID
	set      uint64
	problem  string
}

// Kind returns the reason why the group is not confirmed.
func (lag Lag) Kind() LagKind { return lag.kind }

// Group returns the group that is not confirmed.
func (lag Lag) Group() lagoonlanding.GroupID { return lag.group }

// Instance returns the instance that lags, the zero ID if it is the group as a whole.
func (lag Lag) Instance() lagoonlanding.InstanceID { return lag.instance }

// Set returns the version of the set that the instance last reported.
func (lag Lag) Set() uint64 { return lag.set }

// Problem returns the description of the lag for operators.
func (lag Lag) Problem() string { return lag.problem }

// Reply is the reply of a witness to a status request, or the error of the request.
type Reply struct {
	status lagoonlanding.GroupStatus
	err    error
}

// NewReply returns the reply with the status, or with the error of the request.
func NewReply(status lagoonlanding.GroupStatus, err error) Reply {
	return Reply{status: status, err: err}
}

// FindLags returns every reason why members of the group may serve under a set older than the version, none if it is in force.
//
// A member serves under a layout only while a majority of its witnesses hold its lease. Hence a majority of witnesses that hold
// no lease of a member with an older set, and grant none to such a member, prove that no such member serves.
func FindLags(now time.Time, version uint64, record lagoonlanding.Record, replies map[lagoonlanding.InstanceID]Reply) []Lag {
	evaluation := &evaluation{now: now, version: version, record: record, behind: make(map[lagoonlanding.InstanceID]uint64)}
	for _, witness := range record.Current().Witnesses() {
		evaluation.addReply(witness.ID(), replies[witness.ID()])
	}
	if len(evaluation.lags) == 0 && len(record.Current().Witnesses()) == 0 && len(record.Current().Members()) > 0 {
		evaluation.addLag(WitnessSilent, lagoonlanding.InstanceID{}, 0, "layout %d has no witness", record.Version())
	}
	return evaluation.result()
}

type evaluation struct {
	now     time.Time
	version uint64
	record  lagoonlanding.Record
	// upToDate counts the witnesses that apply the set, so that they grant no lease to a member with an older one.
	upToDate int
	settled  bool
	// behind maps the members with an unexpired lease and an older set to the version of that set.
	behind map[lagoonlanding.InstanceID]uint64
	lags   []Lag
}

func (evaluation *evaluation) addLag(kind LagKind, instance lagoonlanding.InstanceID, set uint64, format string, args ...any) {
	evaluation.lags = append(evaluation.lags, Lag{
		kind: kind, group: evaluation.record.Group(), instance: instance, set: set, problem: fmt.Sprintf(format, args...),
	})
}

func (evaluation *evaluation) addReply(witness lagoonlanding.InstanceID, reply Reply) {
	status := reply.status
	switch {
	case reply.err != nil:
		evaluation.addLag(WitnessSilent, witness, 0, "the witness does not reply: %v", reply.err)
		return
	case status.Version() != evaluation.record.Version() || !status.IsWitness():
		evaluation.addLag(WitnessSilent, witness, status.Set(), "the witness replied for layout %d, not %d", status.Version(), evaluation.record.Version())
		return
	}
	evaluation.settled = evaluation.settled || status.IsSettled()
	for _, member := range status.Members() {
		if member.PromisedUntil().After(evaluation.now) && member.Set() < evaluation.version {
			evaluation.behind[member.ID()] = max(evaluation.behind[member.ID()], member.Set())
		}
	}
	if status.Set() < evaluation.version {
		evaluation.addLag(WitnessBehind, witness, status.Set(), "the witness applies set %d", status.Set())
		return
	}
	evaluation.upToDate++
}

func (evaluation *evaluation) result() []Lag {
	hasMajority := evaluation.upToDate >= evaluation.record.Current().Majority()
	if hasMajority {
		// The other witnesses are a minority, which cannot grant a lease.
		evaluation.lags = nil
	}
	for _, member := range evaluation.record.Current().Members() {
		if set, ok := evaluation.behind[member.ID()]; ok {
			evaluation.addLag(MemberBehind, member.ID(), set, "the member applies set %d", set)
		}
	}
	if hasMajority && !evaluation.settled && evaluation.record.Prior().Version() > 0 {
		evaluation.addLag(GroupMoving, lagoonlanding.InstanceID{}, 0, "the move from layout %d to %d is not settled", evaluation.record.Prior().Version(), evaluation.record.Version())
	}
	return evaluation.lags
}

// Status returns the status of the group, or the error of the request.
func (reply Reply) Status() (lagoonlanding.GroupStatus, error) { return reply.status, reply.err }
