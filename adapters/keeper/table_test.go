package keeper

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"lagoonlanding.example/lagoonlanding"
)

func TestCompareAndSwapRequiresTheExpectedRevision(t *testing.T) {
	table := NewTable()
	first, err := table.CompareAndSwap("a", 0, []byte("1"))
	if err != nil || first != 1 {
		t.Fatalf("first write: revision %d, %v", first, err)
	}
	cases := []struct {
		key      string
		expected uint64
		want     error
	}{
		{key: "a", expected: 0, want: lagoonlanding.ErrConflict},
		{key: "a", expected: 7, want: lagoonlanding.ErrConflict},
		{key: "b", expected: 1, want: lagoonlanding.ErrConflict},
		{key: "a", expected: first, want: nil},
	}
	for _, test := range cases {
		if _, err := table.CompareAndSwap(test.key, test.expected, []byte("2")); !errors.Is(err, test.want) {
			t.Errorf("%s at %d: got %v, want %v", test.key, test.expected, err, test.want)
		}
	}
}

func TestDeletedEntryIsAbsentButListedAsNewer(t *testing.T) {
	table := NewTable()
	written, _ := table.CompareAndSwap("a", 0, nil)
	table.Delete("a")
	if _, err := table.Get("a"); !errors.Is(err, lagoonlanding.ErrNotFound) {
		t.Errorf("get after delete: %v", err)
	}
	newer := table.Newer("", written).Entries()
	if len(newer) != 1 || newer[0].Value() != nil {
		t.Errorf("newer entries after delete: %v", newer)
	}
	if len(table.List("").Entries()) != 0 {
		t.Error("the deleted entry is listed")
	}
	if _, err := table.CompareAndSwap("a", 0, []byte("again")); err != nil {
		t.Errorf("write after delete: %v", err)
	}
}

func TestNewerReturnsOnlyLaterWrites(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	table := NewTable()
	seen := make(map[string]uint64)
	var after uint64
	for range 500 {
		key := fmt.Sprintf("k/%d", random.IntN(20))
		revision, err := table.CompareAndSwap(key, seen[key], []byte("v"))
		if err != nil {
			t.Fatalf("write %s at %d: %v", key, seen[key], err)
		}
		seen[key] = revision
		if random.IntN(3) > 0 {
			continue
		}
		listing := table.Newer("k/", after)
		for _, entry := range listing.Entries() {
			if entry.Revision() <= after || seen[entry.Key()] != entry.Revision() {
				t.Fatalf("after %d: %s has revision %d", after, entry.Key(), entry.Revision())
			}
		}
		after = listing.Revision()
	}
}
