package transmitter

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/connector"
	"lagoonlanding.example/lagoonlanding/mesh/relayer"
	"lagoonlanding.example/lagoonlanding/runtime/timekeeper"
)

// Guards against a follower that takes a daemon of an earlier release, which knows no eras, for one without changes.
func TestFollowerRejectsARelayThatStatesNoEra(t *testing.T) {
	journal := relayer.NewJournal("p/")
	journal.SetConnected(true)
	journal.Replace(lagoonlanding.NewListing(nil, 1<<42|5))
	current := httptest.NewServer(NewServer(ServerConfig{Feeds: map[string]lagoonlanding.PeerFeed{"p/": journal}, Clock: timekeeper.BootClock{}}))
	defer current.Close()
	earlier := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte(`{"r":4398046511109}`))
	}))
	defer earlier.Close()
	pool := connector.NewPool(connector.Config{DialTimeout: time.Second, IdleTimeout: time.Second, MaxIdle: 1})
	for server, want := range map[*httptest.Server]error{current: nil, earlier: lagoonlanding.ErrStoreDisconnected} {
		_, err := NewPeers(pool).Feed(strings.TrimPrefix(server.URL, "http://")).Watch(t.Context(), "p/", 1<<42|5)
		if !errors.Is(err, want) {
			t.Errorf("got %v, want %v", err, want)
		}
	}
}
