package provider

import (
	"errors"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

var start = time.Unix(1000, 0)

func TestCallRateLimits(t *testing.T) {
	store := New(Config{CallsPerSecond: 4, WritesPerSecond: 2})
	calls := []struct {
		kind CallKind
		at   time.Duration
		want error
	}{
		{kind: CallSwap}, {kind: CallSwap},
		{kind: CallSwap, want: ErrTooManyCalls},
		{kind: CallGet},
		{kind: CallGet, want: ErrTooManyCalls},
		{kind: CallGet, at: 500 * time.Millisecond},
		{kind: CallSwap, at: 500 * time.Millisecond},
		{kind: CallWatch, at: 500 * time.Millisecond, want: ErrTooManyCalls},
	}
	for i, call := range calls {
		if err := store.Admit(call.kind, start.Add(call.at)); !errors.Is(err, call.want) {
			t.Errorf("call %d: got %v, want %v", i, err, call.want)
		}
	}
	if got := store.Counters()[CallRefused]; got != 3 {
		t.Errorf("counted %d refused calls", got)
	}
}

func TestExpiredLeaseDeletesItsEntries(t *testing.T) {
	store := New(Config{CallsPerSecond: 10, WritesPerSecond: 10})
	id := store.Grant(time.Second, start)
	_, _ = store.CompareAndSwap("leased", 0, []byte("1"), id)
	kept, _ := store.CompareAndSwap("kept", 0, []byte("1"), id)
	_, _ = store.CompareAndSwap("kept", kept, []byte("2"), 0)
	if err := store.Renew(id, start.Add(500*time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if next := store.Expire(start.Add(time.Second)); !next.Equal(start.Add(1500 * time.Millisecond)) {
		t.Errorf("next deadline %v", next)
	}
	if _, err := store.Get("leased"); err != nil {
		t.Errorf("the renewed lease expired: %v", err)
	}
	store.Expire(start.Add(1500 * time.Millisecond))
	if _, err := store.Get("leased"); !errors.Is(err, lagoonlanding.ErrNotFound) {
		t.Errorf("the entry still exists after its lease expired: %v", err)
	}
	if _, err := store.Get("kept"); err != nil {
		t.Errorf("the entry written without the lease was deleted: %v", err)
	}
	if _, err := store.CompareAndSwap("late", 0, nil, id); !errors.Is(err, ErrNoLease) {
		t.Errorf("write under an expired lease: %v", err)
	}
}

func TestMaximumValueSize(t *testing.T) {
	store := New(Config{})
	if _, err := store.CompareAndSwap("a", 0, make([]byte, MaxValueBytes), 0); err != nil {
		t.Errorf("value of the maximum size: %v", err)
	}
	if _, err := store.CompareAndSwap("b", 0, make([]byte, MaxValueBytes+1), 0); !errors.Is(err, ErrTooLarge) {
		t.Errorf("value above the maximum size: %v", err)
	}
}
