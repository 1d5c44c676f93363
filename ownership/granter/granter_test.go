package granter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding"
)

var (
	group     = lagoonlanding.NewGroupID("status-app", "mesh")
	start     = time.Unix(1000, 0)
	self      = lagoonlanding.NewInstanceID("witness", 1)
	first     = lagoonlanding.NewInstanceID("first", 1)
	second    = lagoonlanding.NewInstanceID("second", 1)
	equateIDs = cmp.Comparer(func(a, b lagoonlanding.InstanceID) bool { return a == b })
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

// shrunkRecord returns a record whose layout 2 no longer contains the second member.
func shrunkRecord() lagoonlanding.Record {
	return lagoonlanding.NewRecord(group, layout(2, first), layout(1, first, second), 5)
}

func newGranter() *Granter {
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
			granter := newGranter()
			granter.Update(start, shrunkRecord())
			if got := granter.Renew(test.now, test.request, 0); got != test.want {
				t.Errorf("got status %d, want %d", got, test.want)
			}
		})
	}
}

func TestClearWaitsForPromiseToExpire(t *testing.T) {
	granter := newGranter()
	granter.Renew(start, renewal(second, 1, 1), 0)
	granter.Update(start, shrunkRecord())
	if diff := cmp.Diff([]lagoonlanding.InstanceID{first}, granter.Clear(start, 2).Cleared(), equateIDs); diff != "" {
		t.Errorf("before the promise has expired: %s", diff)
	}
	afterExpiry := lagoonlanding.WitnessDeadline(start).Add(1)
	if diff := cmp.Diff([]lagoonlanding.InstanceID{first, second}, granter.Clear(afterExpiry, 2).Cleared(), equateIDs); diff != "" {
		t.Errorf("after the promise has expired: %s", diff)
	}
}

func TestClearIsPermanent(t *testing.T) {
	granter := newGranter()
	granter.Update(start, shrunkRecord())
	granter.Clear(start, 2)
	if got := granter.Renew(start, renewal(first, 2, 1), 0); got != lagoonlanding.RenewNotReleased {
		t.Errorf("a cleared member got status %d for the older layout", got)
	}
	if got := granter.Renew(start, renewal(first, 2, 2), 0); got != lagoonlanding.RenewGranted {
		t.Errorf("a cleared member that has released its shards got status %d", got)
	}
}

func TestClearOfUnknownLayout(t *testing.T) {
	if got := newGranter().Clear(start, 2).Status(); got != lagoonlanding.ClearanceBehind {
		t.Errorf("got status %d", got)
	}
}

func TestExpiredMemberMustApplyCurrentSet(t *testing.T) {
	granter := newGranter()
	if got := granter.Renew(start, renewal(first, 1, 1), 1); got != lagoonlanding.RenewSetOutdated {
		t.Errorf("a member without a promise and with an outdated set got status %d", got)
	}
	granter.Renew(start, renewal(first, 1, 1), 0)
	if got := granter.Renew(start, renewal(first, 1, 1), 1); got != lagoonlanding.RenewGranted {
		t.Errorf("a member with a valid promise and an outdated set got status %d", got)
	}
	if got := granter.Renew(start.Add(2*lagoonlanding.PromiseTerm), renewal(first, 1, 1), 1); got != lagoonlanding.RenewSetOutdated {
		t.Errorf("a member with an expired promise and an outdated set got status %d", got)
	}
}

func TestMembersThatExpireTogetherAreReportedTogether(t *testing.T) {
	granter := newGranter()
	granter.Renew(start, renewal(first, 1, 1), 0)
	granter.Renew(start.Add(lagoonlanding.RenewInterval/2), renewal(second, 1, 1), 0)
	afterExpiry := lagoonlanding.WitnessDeadline(start).Add(1)
	expired := granter.Expired(afterExpiry)
	if !expired[first] || expired[second] || !granter.MoreMayExpire(afterExpiry, expired) {
		t.Errorf("expired %v, more may expire %v", expired, granter.MoreMayExpire(afterExpiry, expired))
	}
	if late := afterExpiry.Add(remainingTermAfterMiss); granter.MoreMayExpire(late, expired) {
		t.Error("the expiry is delayed for too long")
	}
	granter.Renew(afterExpiry, renewal(second, 1, 1), 0)
	if granter.MoreMayExpire(afterExpiry, expired) {
		t.Error("the expiry is delayed by a member that has renewed")
	}
}
