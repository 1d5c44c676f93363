package allocator

import (
	"strings"
	"testing"

	"lagoonlanding.example/lagoonlanding"
)

// Guards against a lost allotment that is obeyed again, and against tokens that fall in a later era.
func TestAllotmentOfALaterEraSupersedesOnlyWhatItIsBasedOn(t *testing.T) {
	at := func(version uint64) *Allotment { return NewAllotment(AllotmentConfig{Service: "s", Version: version}) }
	known, copied := at(7), at(5)
	rewritten, outdated := known.Rewrite(2, copied.Version()), copied.Rewrite(2, 0)
	corrected := known.Rewrite(2, outdated.Version())
	for name, check := range map[string]struct {
		next, known *Allotment
		want        bool
	}{
		"the copy":                          {copied, known, false},
		"a newer one in the copy":           {known, copied, true},
		"the known one, written again":      {rewritten, known, true},
		"an older one, written again":       {outdated, known, false},
		"the correction":                    {corrected, outdated, true},
		"an older one that is settled":      {outdated.Settle(2), known, true},
		"a late write of the earlier era":   {at(8), rewritten, false},
		"another one with the same version": {outdated, rewritten, false},
	} {
		if got := check.next.Supersedes(check.known, 2); got != check.want {
			t.Errorf("%s supersedes: %v", name, got)
		}
	}
	if rewritten.Version() != 2<<32+1 || corrected.Version() <= outdated.Version() || rewritten.Base() != 7 || rewritten.IsSettled(2) || !rewritten.Settle(2).IsSettled(2) {
		t.Errorf("got versions %d, %d based on %d", rewritten.Version(), corrected.Version(), rewritten.Base())
	}
	if greatest := at(1).Rewrite(lagoonlanding.MaxStoreEra, 0).Version(); greatest >= 1<<53 {
		t.Errorf("version %d exceeds the bound of tokens", greatest)
	}
}

// Guards against an entry that lifts the wait of a later era, or whose tokens no server accepts.
func TestInvalidErasOfAnAllotmentAreRejected(t *testing.T) {
	for name, config := range map[string]AllotmentConfig{
		"settled": {Service: "s", Version: 1<<32 + 1, Settled: 2},
		"base":    {Service: "s", Version: 5, Base: 6},
		"version": {Service: "s", Version: 1 << 53},
	} {
		value, err := Codec{}.Encode(NewAllotment(config))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := (Codec{}).Decode(lagoonlanding.NewEntry("allotments/s", value, 1)); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}
