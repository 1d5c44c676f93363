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
)

// Guards against a follower that takes a daemon of an earlier release, which knows no eras, for one without changes.
func TestFollowerRejectsARelayThatStatesNoEra(t *testing.T) {
	for answer, want := range map[string]error{`{"r":4398046511109}`: lagoonlanding.ErrStoreDisconnected, `{"r":4398046511109,"e":1}`: nil} {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte(answer)) }))
		defer server.Close()
		pool := connector.NewPool(connector.Config{DialTimeout: time.Second, IdleTimeout: time.Second, MaxIdle: 1})
		_, err := NewPeers(pool).Feed(strings.TrimPrefix(server.URL, "http://")).Watch(t.Context(), "p/", 1<<42|5)
		if !errors.Is(err, want) {
			t.Errorf("%s: got %v", answer, err)
		}
	}
}
