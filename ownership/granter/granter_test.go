package granter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding"
)

var (
	group  = lagoonlanding.NewGroupID("status-app", "mesh")
	start  = time.Unix(1000, 0)
	self   = lagoonlanding.NewInstanceID("witness", 1)
	first  = lagoonlanding.NewInstanceID("first", 1)
	second = lagoonlanding.NewInstanceID("second", 1)
	ids    = cmp.Comparer(func(a, b lagoonlanding.InstanceID) bool { return a == b })
)

func layout(version uint64, members ...lagoonlanding.InstanceID) lagoonlanding.Layout {
	config := lagoonlanding.LayoutConfig{
		Version: version, Shards: 4,
		Witnesses: []lagoonlanding.Instance{lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{ID: self})},
	}
	for _, id := range members {
		instance := lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{ID: id})
		config.Members = append(config.Members, lagoonlanding.NewMember(instance, lagoonlanding.MemberActive, 100))
	}
	return lagoonlanding.NewLayout(config)
}

// moved is a record whose layout 2 has dropped the second member.
func moved() lagoonlanding.Record {
	return lagoonlanding.NewRecord(group, layout(2, first), layout(1, first, second), 5)
}

func granterAt1() *Granter {
	return New(Config{Self: self, Now: start, Record: lagoonlanding.NewRecord(group, layout(1, first, second), lagoonlanding.Layout{}, 4)})
}

func renewal(member lagoonlanding.InstanceID, adopted, released uint64) lagoonlanding.RenewRequest {
	return lagoonlanding.NewRenewRequest(lagoonlanding.RenewRequestConfig{Group: group, Member: member, Adopted: adopted, Released: released})
}

func TestRenewDecisions(t *testing.T) {
	late := start.Add(lagoonlanding.DrainTerm)
	cases := []struct {
		name    string
		now     time.Time
		request lagoonlanding.RenewRequest
		want    lagoonlanding.RenewStatus
	}{
		{name: "current", now: start, request: renewal(first, 2, 2), want: lagoonlanding.RenewGranted},
		{name: "draining", now: start, request: renewal(first, 2, 1), want: lagoonlanding.RenewGranted},
		{name: "draining too long", now: late, request: renewal(first, 2, 1), want: lagoonlanding.RenewNotReleased},
		{name: "removed", now: start, request: renewal(second, 1, 1), want: lagoonlanding.RenewRemoved},
		{name: "newer than the witness", now: start, request: renewal(first, 3, 3), want: lagoonlanding.RenewBehind},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			granter := granterAt1()
			granter.Learn(start, moved())
			if got := granter.Renew(test.now, test.request, 0); got != test.want {
				t.Errorf("got status %d, want %d", got, test.want)
			}
		})
	}
}

func TestClearWaitsForThePromise(t *testing.T) {
	granter := granterAt1()
	granter.Renew(start, renewal(second, 1, 1), 0)
	granter.Learn(start, moved())
	if diff := cmp.Diff([]lagoonlanding.InstanceID{first}, granter.Clear(start, 2).Cleared(), ids); diff != "" {
		t.Errorf("while the promise holds: %s", diff)
	}
	lapsed := lagoonlanding.WitnessDeadline(start).Add(1)
	if diff := cmp.Diff([]lagoonlanding.InstanceID{first, second}, granter.Clear(lapsed, 2).Cleared(), ids); diff != "" {
		t.Errorf("after it: %s", diff)
	}
}

func TestClearIsSticky(t *testing.T) {
	granter := granterAt1()
	granter.Learn(start, moved())
	granter.Clear(start, 2)
	if got := granter.Renew(start, renewal(first, 2, 1), 0); got != lagoonlanding.RenewNotReleased {
		t.Errorf("a cleared member got status %d for the older layout", got)
	}
	if got := granter.Renew(start, renewal(first, 2, 2), 0); got != lagoonlanding.RenewGranted {
		t.Errorf("a cleared member that released got status %d", got)
	}
}

func TestClearOfAnUnknownLayout(t *testing.T) {
	if got := granterAt1().Clear(start, 2).Status(); got != lagoonlanding.ClearanceBehind {
		t.Errorf("got status %d", got)
	}
}

func TestLapsedMemberMustCatchUpWithTheSet(t *testing.T) {
	granter := granterAt1()
	if got := granter.Renew(start, renewal(first, 1, 1), 1); got != lagoonlanding.RenewSetOutdated {
		t.Errorf("a member without a promise and an old set got status %d", got)
	}
	granter.Renew(start, renewal(first, 1, 1), 0)
	if got := granter.Renew(start, renewal(first, 1, 1), 1); got != lagoonlanding.RenewGranted {
		t.Errorf("a member with a living promise and an old set got status %d", got)
	}
	if got := granter.Renew(start.Add(2*lagoonlanding.PromiseTerm), renewal(first, 1, 1), 1); got != lagoonlanding.RenewSetOutdated {
		t.Errorf("a member with a lapsed promise and an old set got status %d", got)
	}
}

func TestMembersThatLapseTogetherAreLostTogether(t *testing.T) {
	granter := granterAt1()
	granter.Renew(start, renewal(first, 1, 1), 0)
	granter.Renew(start.Add(lagoonlanding.RenewInterval/2), renewal(second, 1, 1), 0)
	lapsed := lagoonlanding.WitnessDeadline(start).Add(1)
	lost := granter.Lost(lapsed)
	if !lost[first] || lost[second] || !granter.MayLoseMore(lapsed, lost) {
		t.Errorf("lost %v, more %v", lost, granter.MayLoseMore(lapsed, lost))
	}
	if late := lapsed.Add(overdueTerm); granter.MayLoseMore(late, lost) {
		t.Error("the loss waits for longer than a renewal takes")
	}
	granter.Renew(lapsed, renewal(second, 1, 1), 0)
	if granter.MayLoseMore(lapsed, lost) {
		t.Error("the loss waits for a member that renews")
	}
}
