package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"lagoonlanding.example/lagoonlanding"
)

func activeMember(number, weight int) lagoonlanding.Member {
	return stateMember(number, weight, lagoonlanding.MemberActive)
}

func stateMember(number, weight int, state lagoonlanding.MemberState) lagoonlanding.Member {
	id := lagoonlanding.NewInstanceID(fmt.Sprintf("daemon-%04d", number), 7)
	return lagoonlanding.NewMember(lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{ID: id}), state, weight)
}

func layoutOf(shards int, members []lagoonlanding.Member, pins ...lagoonlanding.Pin) lagoonlanding.Layout {
	return lagoonlanding.NewLayout(lagoonlanding.LayoutConfig{Version: 1, Shards: shards, Members: members, Pins: pins})
}

func counts(placement lagoonlanding.Placement) map[lagoonlanding.InstanceID]int {
	owned := map[lagoonlanding.InstanceID]int{}
	for shard := range placement.Shards() {
		owned[placement.Owner(shard)]++
	}
	return owned
}

func moved(before, after lagoonlanding.Placement) int {
	changed := 0
	for shard := range before.Shards() {
		if before.Owner(shard) != after.Owner(shard) {
			changed++
		}
	}
	return changed
}

func TestPlaceBoundsLoad(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, shards := range []int{64, 128, 256, 512} {
		for members := 2; members <= 24; members++ {
			var list []lagoonlanding.Member
			total := 0
			for range members {
				weight := 50 * random.IntN(5)
				list = append(list, activeMember(random.IntN(10000), weight))
				total += weight
			}
			list = append(list, stateMember(10001, 100, lagoonlanding.MemberLeaving))
			owned := counts(NewRendezvous().Place(layoutOf(shards, list)))
			if total > 0 && owned[lagoonlanding.InstanceID{}] != 0 {
				t.Fatalf("%d shards, %d members: %d shards have no owner", shards, members, owned[lagoonlanding.InstanceID{}])
			}
			for _, member := range list {
				bound := 0
				if mayOwnShards(member) {
					bound = share(shards, member.Weight(), total)
				}
				if owned[member.ID()] > bound {
					t.Errorf("%d shards, %d members: %v owns %d of at most %d", shards, members, member.ID(), owned[member.ID()], bound)
				}
			}
		}
	}
}

func TestPlaceIgnoresOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	list := make([]lagoonlanding.Member, 16)
	for i := range list {
		list[i] = activeMember(i, 100)
	}
	want := counts(NewRendezvous().Place(layoutOf(256, list)))
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if diff := cmp.Diff(want, counts(NewRendezvous().Place(layoutOf(256, list))), cmpopts.EquateComparable(lagoonlanding.InstanceID{})); diff != "" {
		t.Error(diff)
	}
}

// TestPlaceIsStableAcrossVersions checks a fixed placement, because instances of different versions must compute the same owners.
func TestPlaceIsStableAcrossVersions(t *testing.T) {
	placement := NewRendezvous().Place(layoutOf(16, []lagoonlanding.Member{activeMember(1, 100), activeMember(2, 100), activeMember(3, 200)}))
	got := ""
	for shard := range placement.Shards() {
		got += placement.Owner(shard).Name()[len("daemon-000"):]
	}
	if want := "1313122331323323"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestPinMovesOnlyPinnedShard(t *testing.T) {
	list := []lagoonlanding.Member{activeMember(1, 100), activeMember(2, 100), activeMember(3, 0), stateMember(4, 100, lagoonlanding.MemberLeaving)}
	var pins []lagoonlanding.Pin
	for shard := range 40 {
		pins = append(pins, lagoonlanding.NewPin(shard, list[shard%4].ID()))
	}
	pins = append(pins, lagoonlanding.NewPin(99, list[0].ID()))
	base := NewRendezvous().Place(layoutOf(64, list))
	placement := NewRendezvous().Place(layoutOf(64, list, pins...))
	for shard := range 64 {
		want := base.Owner(shard)
		if shard < 40 && mayOwnShards(list[shard%4]) {
			want = list[shard%4].ID()
		}
		if placement.Owner(shard) != want {
			t.Errorf("shard %d: owner %v, want %v", shard, placement.Owner(shard), want)
		}
	}
}

func TestPlaceWithoutOwners(t *testing.T) {
	for _, list := range [][]lagoonlanding.Member{nil, {activeMember(1, 0)}, {stateMember(1, 100, lagoonlanding.MemberLeaving)}} {
		if got := counts(NewRendezvous().Place(layoutOf(8, list))); got[lagoonlanding.InstanceID{}] != 8 {
			t.Errorf("members %v: %v", list, got)
		}
	}
}
