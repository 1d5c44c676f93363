package confirmer

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding"
)

var (
	start = time.Unix(1000, 0)
	group = lagoonlanding.NewGroupID("status-app", "mesh")
)

func id(name string) lagoonlanding.InstanceID { return lagoonlanding.NewInstanceID(name, 1) }

func record(priorVersion uint64, members ...string) lagoonlanding.Record {
	config := lagoonlanding.LayoutConfig{Version: 5, Shards: 4}
	for _, name := range members {
		instance := lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{ID: id(name)})
		config.Members = append(config.Members, lagoonlanding.NewMember(instance, lagoonlanding.MemberActive, 100))
	}
	for _, name := range []string{"w1", "w2", "w3"} {
		config.Witnesses = append(config.Witnesses, lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{ID: id(name)}))
	}
	prior := lagoonlanding.NewLayout(lagoonlanding.LayoutConfig{Version: priorVersion})
	return lagoonlanding.NewRecord(group, lagoonlanding.NewLayout(config), prior, 9)
}

// memberLease is the lease of a member at one witness: the member's name, the set that it applies and whether the lease has expired.
type memberLease struct {
	name    string
	set     uint64
	expired bool
}

func reply(version, set uint64, settled bool, leases ...memberLease) Reply {
	config := lagoonlanding.GroupStatusConfig{Group: group, Version: version, Set: set, Settled: settled, Witness: true}
	for _, memberlease := range leases {
		expiry := start.Add(time.Second)
		if memberlease.expired {
			expiry = start.Add(-time.Second)
		}
		config.Members = append(config.Members, lagoonlanding.NewMemberStatus(id(memberlease.name), lagoonlanding.MemberActive, expiry, memberlease.set))
	}
	return NewReply(lagoonlanding.NewGroupStatus(config), nil)
}

func TestFindLags(t *testing.T) {
	silent := NewReply(lagoonlanding.GroupStatus{}, errors.New("cut off"))
	good := reply(5, 8, true, memberLease{name: "a", set: 8}, memberLease{name: "b", set: 9})
	behind := reply(5, 8, true, memberLease{name: "a", set: 7}, memberLease{name: "b", set: 8})
	expired := reply(5, 8, true, memberLease{name: "a", set: 7, expired: true}, memberLease{name: "b", set: 8})
	cases := []struct {
		name    string
		replies []Reply
		prior   uint64
		want    []string
	}{
		{"all", []Reply{good, good, good}, 4, nil},
		{"one silent witness", []Reply{good, silent, good}, 4, nil},
		{"two silent witnesses", []Reply{good, silent, silent}, 4, []string{"witness-silent w2", "witness-silent w3"}},
		{"no reply at all", []Reply{silent, silent, silent}, 4, []string{"witness-silent w1", "witness-silent w2", "witness-silent w3"}},
		{"member behind", []Reply{good, behind, good}, 4, []string{"member-behind a"}},
		{"expired member behind", []Reply{expired, silent, expired}, 4, nil},
		{"expired at one witness only", []Reply{expired, silent, behind}, 4, []string{"member-behind a"}},
		{"witness behind", []Reply{reply(5, 7, true, memberLease{name: "a", set: 8}, memberLease{name: "b", set: 8}), silent, good}, 4,
			[]string{"witness-behind w1", "witness-silent w2"}},
		{"older layout", []Reply{reply(4, 8, true), reply(4, 8, true), good}, 4, []string{"witness-silent w1", "witness-silent w2"}},
		{"moving", []Reply{reply(5, 8, false, memberLease{name: "a", set: 8}, memberLease{name: "b", set: 8}), silent, reply(5, 8, false, memberLease{name: "a", set: 8}, memberLease{name: "b", set: 8})}, 4,
			[]string{"group-moving "}},
		{"first layout", []Reply{reply(5, 8, false, memberLease{name: "a", set: 8}, memberLease{name: "b", set: 8}), silent, reply(5, 8, false, memberLease{name: "a", set: 8}, memberLease{name: "b", set: 8})}, 0, nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			replies := map[lagoonlanding.InstanceID]Reply{}
			for i, reply := range test.replies {
				replies[id(fmt.Sprintf("w%d", i+1))] = reply
			}
			var got []string
			for _, lag := range FindLags(start, 8, record(test.prior, "a", "b"), replies) {
				got = append(got, fmt.Sprintf("%s %s", lag.Kind(), lag.Instance().Name()))
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
