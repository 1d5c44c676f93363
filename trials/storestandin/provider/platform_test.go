package provider

import (
	"errors"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

var start = time.Unix(1000, 0)

func TestCapsOnCalls(t *testing.T) {
	platform := New(Config{CallsPerSecond: 4, WritesPerSecond: 2})
	calls := []struct {
		kind CallKind
		at   time.Duration
		want error
	}{
		{kind: CallSwap}, {kind: CallSwap},
		{kind: CallSwap, want: ErrTooMany},
		{kind: CallGet},
		{kind: CallGet, want: ErrTooMany},
		{kind: CallGet, at: 500 * time.Millisecond},
		{kind: CallSwap, at: 500 * time.Millisecond},
		{kind: CallWatch, at: 500 * time.Millisecond, want: ErrTooMany},
	}
	for i, call := range calls {
		if err := platform.Admit(call.kind, start.Add(call.at)); !errors.Is(err, call.want) {
			t.Errorf("call %d: got %v, want %v", i, err, call.want)
		}
	}
	if got := platform.Counters()[CallRefused]; got != 3 {
		t.Errorf("counted %d refused calls", got)
	}
}

func TestLeaseTakesItsEntriesAlong(t *testing.T) {
	platform := New(Config{CallsPerSecond: 10, WritesPerSecond: 10})
	id := platform.Grant(time.Second, start)
	_, _ = platform.Swap("leased", 0, []byte("1"), id)
	kept, _ := platform.Swap("kept", 0, []byte("1"), id)
	_, _ = platform.Swap("kept", kept, []byte("2"), 0)
	if err := platform.Renew(id, start.Add(500*time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if next := platform.Expire(start.Add(time.Second)); !next.Equal(start.Add(1500 * time.Millisecond)) {
		t.Errorf("next deadline %v", next)
	}
	if _, err := platform.Get("leased"); err != nil {
		t.Errorf("the renewed lease has expired: %v", err)
	}
	platform.Expire(start.Add(1500 * time.Millisecond))
	if _, err := platform.Get("leased"); !errors.Is(err, lagoonlanding.ErrNotFound) {
		t.Errorf("the entry outlives its lease: %v", err)
	}
	if _, err := platform.Get("kept"); err != nil {
		t.Errorf("the entry of another write is gone: %v", err)
	}
	if _, err := platform.Swap("late", 0, nil, id); !errors.Is(err, ErrNoLease) {
		t.Errorf("write under an expired lease: %v", err)
	}
}

func TestValueAboveTheBound(t *testing.T) {
	platform := New(Config{})
	if _, err := platform.Swap("a", 0, make([]byte, MaxValueBytes), 0); err != nil {
		t.Errorf("value at the bound: %v", err)
	}
	if _, err := platform.Swap("b", 0, make([]byte, MaxValueBytes+1), 0); !errors.Is(err, ErrTooLarge) {
		t.Errorf("value above the bound: %v", err)
	}
}
