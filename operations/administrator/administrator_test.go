package administrator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	storeencoder "lagoonlanding.example/lagoonlanding/adapters/encoder"
	"lagoonlanding.example/lagoonlanding/adapters/storer"
	"lagoonlanding.example/lagoonlanding/operations/administrator/encoder"
	"lagoonlanding.example/lagoonlanding/operations/parser"
	"lagoonlanding.example/lagoonlanding/ownership/placer"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// instantClock ends every wait at once and advances the time accordingly.
type instantClock struct{ now time.Time }

func (instantclock *instantClock) Now() time.Time { return instantclock.now }

func (instantclock *instantClock) Until(deadline time.Time) <-chan time.Time {
	instantclock.now = deadline
	elapsed := make(chan time.Time, 1)
	elapsed <- deadline
	return elapsed
}

// fleet is a fleet of one instance that owns all shards and reports a given set.
type fleet struct {
	lagoonlanding.Peers
	self   lagoonlanding.Instance
	memory *storer.Memory
	clock  *instantClock
	set    uint64
	silent bool
}

func newFleet() *fleet {
	return &fleet{
		self: lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{
			ID: lagoonlanding.NewInstanceID("a", 1), AvailabilityZone: "piraeus", Region: "attica", Service: "status-app",
		}),
		memory: storer.NewMemory(), clock: &instantClock{now: time.Unix(100, 0)},
	}
}

func (fleet *fleet) Status(context.Context, lagoonlanding.Instance, lagoonlanding.StatusRequest) (lagoonlanding.GroupStatus, error) {
	if fleet.silent {
		return lagoonlanding.GroupStatus{}, errors.New("cut off")
	}
	return fleet.groupStatus(), nil
}

func (fleet *fleet) groupStatus() lagoonlanding.GroupStatus {
	member := lagoonlanding.NewMemberStatus(fleet.self.ID(), lagoonlanding.MemberActive, fleet.clock.now.Add(time.Second), fleet.set)
	return lagoonlanding.NewGroupStatus(lagoonlanding.GroupStatusConfig{
		Group: fleet.record().Group(), Version: 1, Witness: true, Settled: true, Coordinating: true, Set: fleet.set,
		Members: []lagoonlanding.MemberStatus{member},
	})
}

func (fleet *fleet) record() lagoonlanding.Record {
	layout := lagoonlanding.NewLayout(lagoonlanding.LayoutConfig{
		Version: 1, Shards: 64, Witnesses: []lagoonlanding.Instance{fleet.self},
		Members: []lagoonlanding.Member{lagoonlanding.NewMember(fleet.self, lagoonlanding.MemberActive, 100)},
	})
	return lagoonlanding.NewRecord(lagoonlanding.NewGroupID("status-app", "mesh"), layout, lagoonlanding.Layout{}, 0)
}

func (fleet *fleet) Current() *router.Snapshot {
	record := fleet.record()
	return router.NewSnapshot(router.SnapshotConfig{Self: fleet.self, Groups: map[lagoonlanding.GroupID]router.Group{
		record.Group(): router.NewGroup(record, placer.NewRendezvous().Place(record.Current())),
	}})
}

func (fleet *fleet) Changed() <-chan struct{} { return nil }

func (fleet *fleet) server(t *testing.T, keyFile string) *httptest.Server {
	t.Helper()
	value, err := storeencoder.Records{}.Encode(fleet.record())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fleet.memory.CompareAndSwap(t.Context(), lagoonlanding.GroupKey(fleet.record().Group()), 0, value); err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	administrator, err := New(Config{
		Address: "127.0.0.1:1", KeyFile: keyFile, Store: fleet.memory, Records: storeencoder.Records{}, Sets: storeencoder.Sets{},
		Placer: placer.NewRendezvous(), Peers: fleet, Clock: fleet.clock, Snapshots: fleet, Drain: func() {},
		Status: func() lagoonlanding.InstanceStatus {
			return lagoonlanding.NewInstanceStatus(lagoonlanding.InstanceStatusConfig{Set: fleet.set})
		},
		Log: logrus.NewEntry(log),
	})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(administrator.Handler())
	t.Cleanup(server.Close)
	return server
}

func post[Reply any](t *testing.T, url, key string, body any) (int, Reply) {
	t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var reply Reply
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, reply
}

func validRequest(t *testing.T, base uint64) encoder.SetRequest {
	t.Helper()
	sources, err := parser.Read("../parser/testdata/good")
	if err != nil {
		t.Fatal(err)
	}
	return encoder.SetRequest{Sources: encoder.FromSources(sources), BaseVersion: base, Wait: "1s"}
}

func TestPublish(t *testing.T) {
	fleet := newFleet()
	server := fleet.server(t, "")
	requirePublish(t, server.URL, validRequest(t, 0), http.StatusAccepted, "pending", 1)
	fleet.set = 2
	setrequest := validRequest(t, 1)
	setrequest.Sources[1].Text = strings.Replace(setrequest.Sources[1].Text, "cost = 5", "cost = 6", 1)
	requirePublish(t, server.URL, setrequest, http.StatusOK, "in-force", 2)
	requirePublish(t, server.URL, setrequest, http.StatusConflict, "outrun", 2)
	setrequest.BaseVersion = 2
	requirePublish(t, server.URL, setrequest, http.StatusOK, "unchanged", 2)
	setrequest.Sources[1].Text += "\n[class.broken]\ncost = 0\n"
	requirePublish(t, server.URL, setrequest, http.StatusUnprocessableEntity, "faulty", 0)
	setrequest = validRequest(t, 2)
	setrequest.Sources[1].Text, _, _ = strings.Cut(setrequest.Sources[1].Text, "[route.bays]")
	requirePublish(t, server.URL, setrequest, http.StatusPreconditionFailed, "dangerous", 2)
	setrequest.Accept = []string{"removed:route.bays"}
	fleet.memory.LoseResponses(1)
	requirePublish(t, server.URL, setrequest, http.StatusAccepted, "pending", 3)
	fleet.memory.SetDown(true)
	requirePublish(t, server.URL, validRequest(t, 3), http.StatusServiceUnavailable, "not-written", 0)
}

func requirePublish(t *testing.T, url string, setrequest encoder.SetRequest, status int, verdict string, version uint64) {
	t.Helper()
	code, outcome := post[encoder.Outcome](t, url+"/v1/publish", "", setrequest)
	if code != status || outcome.Verdict != verdict || outcome.Version != version {
		t.Fatalf("status %d, outcome %+v, want %d, %s, %d", code, outcome, status, verdict, version)
	}
}

func TestZone(t *testing.T) {
	fleet := newFleet()
	fleet.set = 9
	server := fleet.server(t, "")
	requirePublish(t, server.URL, validRequest(t, 0), http.StatusOK, "in-force", 1)
	cases := []struct {
		path    string
		accept  string
		status  int
		verdict string
	}{
		{"/v1/zones/atlantis/out", "", http.StatusUnprocessableEntity, "faulty"},
		{"/v1/zones/marousi/out", "", http.StatusOK, "in-force"},
		{"/v1/zones/marousi/out", "", http.StatusOK, "unchanged"},
		{"/v1/zones/marousi/return", "", http.StatusOK, "in-force"},
		{"/v1/zones/piraeus/out", "", http.StatusPreconditionFailed, "dangerous"},
		{"/v1/zones/piraeus/out", "no-member", http.StatusOK, "in-force"},
	}
	for _, test := range cases {
		zonerequest := encoder.ZoneRequest{}
		if test.accept != "" {
			zonerequest.Accept = []string{test.accept}
		}
		code, outcome := post[encoder.Outcome](t, server.URL+test.path, "", zonerequest)
		if code != test.status || outcome.Verdict != test.verdict {
			t.Errorf("%s: status %d, outcome %+v", test.path, code, outcome)
		}
	}
}

func TestPublishReportsLags(t *testing.T) {
	fleet := newFleet()
	fleet.silent = true
	server := fleet.server(t, "")
	_, outcome := post[encoder.Outcome](t, server.URL+"/v1/publish", "", validRequest(t, 0))
	if outcome.Verdict != "pending" || outcome.Confirmation == nil || len(outcome.Confirmation.Lags) != 1 || outcome.Confirmation.Lags[0].Instance != "a#1" {
		t.Errorf("outcome %+v", outcome)
	}
}

func TestKeys(t *testing.T) {
	file := filepath.Join(t.TempDir(), "keys")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("maria first-key-0123456789\n")
	server := newFleet().server(t, file)
	check := func(key string, want int) {
		t.Helper()
		if code, _ := post[encoder.Plan](t, server.URL+"/v1/check", key, encoder.SetRequest{}); code != want {
			t.Errorf("key %q: status %d, want %d", key, code, want)
		}
	}
	check("", http.StatusUnauthorized)
	check("first-key-0123456789", http.StatusOK)
	write("maria second-key-0123456789-longer\n")
	check("first-key-0123456789", http.StatusUnauthorized)
	check("second-key-0123456789-longer", http.StatusOK)
	write("short\n")
	check("second-key-0123456789-longer", http.StatusOK)
	if _, err := newKeyring("", "10.0.0.1:7004"); err == nil {
		t.Error("a public address without a key file is accepted")
	}
	if _, err := newKeyring(file, "10.0.0.1:7004"); err == nil {
		t.Error("a short key is accepted")
	}
}

func TestMalformedRequests(t *testing.T) {
	server := newFleet().server(t, "")
	for path, body := range map[string]any{
		"/v1/publish":           map[string]any{"surprise": 1},
		"/v1/plan":              []int{1},
		"/v1/zones/piraeus/out": encoder.ZoneRequest{Wait: "9h"},
	} {
		if code, failure := post[encoder.Error](t, server.URL+path, "", body); code != http.StatusBadRequest || failure.Problem == "" {
			t.Errorf("%s: status %d, %+v", path, code, failure)
		}
	}
}

func TestStatusReportsLimits(t *testing.T) {
	fleet := newFleet()
	server := fleet.server(t, "")
	for _, silent := range []bool{false, true} {
		fleet.silent = silent
		response, err := http.Get(server.URL + "/v1/status")
		if err != nil {
			t.Fatal(err)
		}
		var status encoder.Status
		if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		want := 1 // No published set is known.
		if silent {
			want = 2
		}
		if len(status.Limits) != want || len(status.Groups) != 1 || status.Groups[0].Members[0].Shards != 64 {
			t.Errorf("silent %v: %+v", silent, status)
		}
	}
}
