package storer

import (
	"context"
	"errors"
	"testing"

	"lagoonlanding.example/lagoonlanding"
)

func TestMemoryAppliesAWriteWhoseResponseIsLost(t *testing.T) {
	memory := NewMemory()
	memory.LoseResponses(1)
	if _, err := memory.CompareAndSwap(t.Context(), "a", 0, []byte("1")); !errors.Is(err, lagoonlanding.ErrUnknown) {
		t.Fatalf("lost response: %v", err)
	}
	entry, err := memory.Get(t.Context(), "a")
	if err != nil || string(entry.Value()) != "1" {
		t.Fatalf("read back: %q, %v", entry.Value(), err)
	}
	if _, err := memory.CompareAndSwap(t.Context(), "a", entry.Revision(), []byte("2")); err != nil {
		t.Fatalf("next write: %v", err)
	}
}

func TestMemoryWatchWaitsForAChangeUnderThePrefix(t *testing.T) {
	memory := NewMemory()
	got := make(chan lagoonlanding.Listing)
	go func() {
		listing, _ := memory.Watch(context.Background(), "a/", 0)
		got <- listing
	}()
	_, _ = memory.CompareAndSwap(t.Context(), "b/1", 0, []byte("1"))
	_, _ = memory.CompareAndSwap(t.Context(), "a/1", 0, []byte("1"))
	listing := <-got
	if len(listing.Entries()) != 1 || listing.Entries()[0].Key() != "a/1" {
		t.Fatalf("got %v", listing.Entries())
	}
}

func TestMemoryWatchEndsOnCancellationAndOutage(t *testing.T) {
	memory := NewMemory()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := memory.Watch(ctx, "", 0); !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled watch: %v", err)
	}
	failed := make(chan error)
	go func() {
		_, err := memory.Watch(context.Background(), "", 0)
		failed <- err
	}()
	memory.SetDown(true)
	if err := <-failed; !errors.Is(err, lagoonlanding.ErrUnavailable) {
		t.Errorf("watch of a store that is down: %v", err)
	}
}
