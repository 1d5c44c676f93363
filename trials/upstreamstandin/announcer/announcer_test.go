package announcer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestRefusedAnnouncementIsRetried(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	bodies := make(chan string, 2)
	calls := 0
	daemon := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		calls++
		body, _ := io.ReadAll(request.Body)
		bodies <- string(body)
		if calls == 1 {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer daemon.Close()
	go New(Config{Daemon: strings.TrimPrefix(daemon.URL, "http://"), Service: "tag-ledger", Address: "127.0.0.1:1", Slots: 6}).Run(ctx)
	for range 2 {
		if got, want := <-bodies, `{"service":"tag-ledger","address":"127.0.0.1:1","slots":6}`; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}
