package holder

import (
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

var (
	group       = lagoonlanding.NewGroupID("status-app", "mesh")
	start       = time.Unix(1000, 0)
	self        = instance("self")
	other       = instance("other")
	third       = instance("third")
	fencedRules = NewRules(true, time.Second)
)

func instance(name string) lagoonlanding.Instance {
	return lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{ID: lagoonlanding.NewInstanceID(name, 1)})
}

// firstMemberPlacer places all shards on the first member.
type firstMemberPlacer struct{}

func (firstmemberplacer firstMemberPlacer) Place(layout lagoonlanding.Layout) lagoonlanding.Placement {
	owners := make([]lagoonlanding.InstanceID, layout.Shards())
	for i := range owners {
		owners[i] = layout.Members()[0].ID()
	}
	return lagoonlanding.NewPlacement(owners)
}

func layout(version uint64, members ...lagoonlanding.Instance) lagoonlanding.Layout {
	config := lagoonlanding.LayoutConfig{
		Version: version, Shards: 1, Witnesses: []lagoonlanding.Instance{self, other, third},
	}
	for _, member := range members {
		config.Members = append(config.Members, lagoonlanding.NewMember(member, lagoonlanding.MemberActive, 100))
	}
	return lagoonlanding.NewLayout(config)
}

func record(current, prior lagoonlanding.Layout) lagoonlanding.Record {
	return lagoonlanding.NewRecord(group, current, prior, current.Version()*10)
}

func newHolder() *Holder {
	return New(Config{Self: self.ID(), Group: group, Placer: firstMemberPlacer{}})
}

// newAcquiringHolder returns a holder that acquires the shard from the other member under layout 2.
func newAcquiringHolder(rules Rules) *Holder {
	holder := newHolder()
	holder.Adopt(start, record(layout(2, self, other), layout(1, other, self)), rules)
	return holder
}

func granted(version uint64) lagoonlanding.ClearanceReply {
	return lagoonlanding.NewClearanceReply(lagoonlanding.ClearanceGranted, version, []lagoonlanding.InstanceID{other.ID()})
}

func TestDeadlineNeedsAMajority(t *testing.T) {
	holder := newAcquiringHolder(fencedRules)
	holder.Promised(self.ID(), start.Add(time.Second))
	if !holder.Deadline().IsZero() {
		t.Error("one promise of three is sufficient for a lease")
	}
	holder.Promised(third.ID(), start)
	if want := lagoonlanding.HolderDeadline(start); !holder.Deadline().Equal(want) {
		t.Errorf("deadline %v, want %v", holder.Deadline(), want)
	}
}

func TestAcquireNeedsAMajority(t *testing.T) {
	holder := newAcquiringHolder(fencedRules)
	holder.Cleared(start, self.ID(), granted(2), fencedRules)
	if holder.Tokens()[0] != 0 {
		t.Error("one clearance of three is sufficient")
	}
	holder.Cleared(start, third.ID(), granted(1), fencedRules)
	if holder.Tokens()[0] != 0 {
		t.Error("a clearance for another layout is counted")
	}
	holder.Cleared(start, third.ID(), granted(2), fencedRules)
	if holder.Tokens()[0] != 2 || holder.Since()[0] != 20 {
		t.Errorf("token %d since %d after a majority", holder.Tokens()[0], holder.Since()[0])
	}
}

func TestAcquireWaitsForServersWithoutFencing(t *testing.T) {
	rules := NewRules(false, time.Second)
	holder := newAcquiringHolder(rules)
	holder.Cleared(start, self.ID(), granted(2), rules)
	holder.Cleared(start, third.ID(), granted(2), rules)
	// On a clock that is slower by the maximum drift, a request of one second ends 10 ms later.
	end := start.Add(time.Second + 10*time.Millisecond)
	holder.Advance(end.Add(-1))
	if holder.Tokens()[0] != 0 {
		t.Error("served before the maximum run time of the previous owner's requests has passed")
	}
	holder.Advance(end)
	if holder.Tokens()[0] != 2 {
		t.Error("not served after the maximum run time has passed")
	}
}

func TestHandoverIsAcceptedOnce(t *testing.T) {
	holder := newAcquiringHolder(fencedRules)
	request := func(version uint64, from lagoonlanding.Instance) lagoonlanding.HandoverRequest {
		return lagoonlanding.NewHandoverRequest(lagoonlanding.HandoverConfig{
			Group: group, Version: version, From: from.ID(), To: self.ID(), Since: 7,
		})
	}
	steps := []struct {
		name    string
		request lagoonlanding.HandoverRequest
		want    lagoonlanding.HandoverStatus
		imports bool
	}{
		{name: "of a newer layout", request: request(3, other), want: lagoonlanding.HandoverBehind},
		{name: "of an older layout", request: request(1, other), want: lagoonlanding.HandoverLate},
		{name: "by an instance that was not the owner", request: request(2, third), want: lagoonlanding.HandoverLate},
		{name: "by the previous owner", request: request(2, other), want: lagoonlanding.HandoverAccepted, imports: true},
		{name: "repeated", request: request(2, other), want: lagoonlanding.HandoverAccepted},
	}
	for _, step := range steps {
		if got, imports := holder.AcceptHandover(step.request); got != step.want || imports != step.imports {
			t.Errorf("%s: got %d, %v", step.name, got, imports)
		}
	}
	if holder.Tokens()[0] != 2 || holder.Since()[0] != 7 {
		t.Errorf("token %d since %d after the handover", holder.Tokens()[0], holder.Since()[0])
	}
}

func TestDrainEndsByHandoverOrTerm(t *testing.T) {
	draining := func() *Holder {
		holder := newHolder()
		holder.Adopt(start, record(layout(1, self), lagoonlanding.Layout{}), fencedRules)
		change := holder.Adopt(start, record(layout(2, other, self), layout(1, self)), fencedRules)
		if len(change.Drains()) != 1 || holder.Released() != 1 || holder.Tokens()[0] != 0 {
			t.Fatalf("drains %v, released %d, tokens %v", change.Drains(), holder.Released(), holder.Tokens())
		}
		return holder
	}
	handed := draining()
	handed.HandedOver(0, 2)
	late := draining()
	late.Advance(start.Add(lagoonlanding.DrainTerm))
	for _, holder := range []*Holder{handed, late} {
		if holder.Released() != 2 || !holder.IsEmpty() {
			t.Errorf("released %d, empty %v", holder.Released(), holder.IsEmpty())
		}
	}
}

func TestMissedLayoutEndsPreviousOwnership(t *testing.T) {
	holder := newHolder()
	holder.Adopt(start, record(layout(1, self), lagoonlanding.Layout{}), fencedRules)
	change := holder.Adopt(start, record(layout(3, self, other), layout(2, other, self)), fencedRules)
	if holder.Tokens()[0] != 0 || len(change.Dropped()) != 1 {
		t.Errorf("tokens %v, dropped %v: another owner may have served in between", holder.Tokens(), change.Dropped())
	}
}
