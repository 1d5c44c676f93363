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

// hastyStore answers every watch at once and without news, and ends the last one.
type hastyStore struct {
	calls int
	last  int
	end   context.CancelFunc
}

// RoundTrip answers the call.
func (hastystore *hastyStore) RoundTrip(*http.Request) (*http.Response, error) {
	if hastystore.calls++; hastystore.calls >= hastystore.last {
		hastystore.end()
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(`{}`))}, nil
}

// TestWatchPausesBetweenAnswersWithoutNews lets the store answer before the term; asking again at once would spin.
func TestWatchPausesBetweenAnswersWithoutNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &hastyStore{last: 20, end: cancel}
		client := New(Config{URL: "http://store", Client: &http.Client{Transport: store}})
		started := time.Now()
		if _, err := client.Watch(ctx, "group/", 1); err == nil {
			t.Error("a watch that was given up has an answer")
		}
		if least := 19 * watchPause; time.Since(started) < least {
			t.Errorf("%d calls in %v, want at least %v", store.calls, time.Since(started), least)
		}
	})
}
