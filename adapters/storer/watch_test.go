package storer

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// immediateStore returns an empty response to each watch immediately and cancels the watch at call number maxCalls.
type immediateStore struct {
	calls    int
	maxCalls int
	cancel   context.CancelFunc
}

// RoundTrip returns an empty listing.
func (immediatestore *immediateStore) RoundTrip(*http.Request) (*http.Response, error) {
	if immediatestore.calls++; immediatestore.calls >= immediatestore.maxCalls {
		immediatestore.cancel()
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(`{}`))}, nil
}

// TestWatchDelaysPollingAfterEmptyResponses guards against a busy loop when the store responds before WatchTerm has passed.
func TestWatchDelaysPollingAfterEmptyResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &immediateStore{maxCalls: 20, cancel: cancel}
		client := New(Config{URL: "http://store", Client: &http.Client{Transport: store}})
		started := time.Now()
		if _, err := client.Watch(ctx, "group/", 1); err == nil {
			t.Error("a cancelled watch returned no error")
		}
		if least := 19 * pollDelay; time.Since(started) < least {
			t.Errorf("%d calls in %v, want at least %v", store.calls, time.Since(started), least)
		}
	})
}
