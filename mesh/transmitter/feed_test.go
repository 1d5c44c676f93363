package transmitter

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/connector"
	"lagoonlanding.example/lagoonlanding/mesh/relayer"
	"lagoonlanding.example/lagoonlanding/runtime/timekeeper"
)

func TestProbeAnswersAtOnceWhetherChangesAreRelayed(t *testing.T) {
	journal := relayer.NewJournal("p/")
	server := httptest.NewServer(NewServer(ServerConfig{
		Feeds: map[string]lagoonlanding.PeerFeed{"p/": journal}, Clock: timekeeper.BootClock{},
	}))
	defer server.Close()
	feed := NewPeers(connector.NewPool(connector.Config{DialTimeout: time.Second, IdleTimeout: time.Second, MaxIdle: 1})).
		Feed(strings.TrimPrefix(server.URL, "http://"))
	if err := feed.Probe(t.Context(), "p/"); !errors.Is(err, lagoonlanding.ErrStoreDisconnected) {
		t.Errorf("a daemon without changes from the store answered %v", err)
	}
	journal.SetConnected(true)
	if err := feed.Probe(t.Context(), "p/"); err != nil {
		t.Errorf("a daemon that relays changes answered %v", err)
	}
}
