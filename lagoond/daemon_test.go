package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding/adapters/storer"
)

func TestEveryDaemonForwardsToTheSameOwner(t *testing.T) {
	nodes := startFleet(t, storer.NewMemory(), 3)
	for key := range 20 {
		var owner string
		for _, node := range nodes {
			path := fmt.Sprintf("/tags/%d", key)
			got, err := send("GET", node.url(path), "")
			if err != nil || got.status != http.StatusOK || got.body != "GET "+path+" " {
				t.Fatalf("got %+v, %v", got, err)
			}
			if owner == "" {
				owner = got.fields.Get("Lagoonlanding-Owner")
			}
			if got.fields.Get("Lagoonlanding-Owner") != owner {
				t.Errorf("key %d has the owners %s and %s", key, owner, got.fields.Get("Lagoonlanding-Owner"))
			}
		}
	}
}

func TestRepeatedRequestRunsOnce(t *testing.T) {
	nodes := startFleet(t, storer.NewMemory(), 3)
	runs := func() (sum int64) {
		for _, node := range nodes {
			sum += node.backend.runs.Load()
		}
		return sum
	}
	before := runs()
	ticket, err := send("GET", nodes[0].url("/.lagoonlanding/ticket"), "")
	if err != nil {
		t.Fatal(err)
	}
	for i, node := range nodes {
		got, err := send("POST", node.url("/tags/7"), "issue", "Lagoonlanding-Idempotency-Key", "once",
			"Lagoonlanding-Ticket", ticket.fields.Get("Lagoonlanding-Ticket"))
		if err != nil || got.status != http.StatusOK || got.body != "POST /tags/7 issue" {
			t.Fatalf("got %+v, %v", got, err)
		}
		if isRepeated := got.fields.Get("Lagoonlanding-Repeated") == "true"; isRepeated != (i > 0) {
			t.Errorf("attempt %d: got repeated %v", i, isRepeated)
		}
	}
	if ran := runs() - before; ran != 1 {
		t.Errorf("the request ran %d times, want 1", ran)
	}
}

// sendUntil sends requests to the nodes in turn until stop returns true; it returns their number and the first failure.
func sendUntil(nodes []*node, stop func(error) bool) (int, error) {
	for count := 0; ; count++ {
		got, err := send("GET", nodes[count%len(nodes)].url(fmt.Sprintf("/tags/%d", count%40)), "")
		if stop(err) {
			return count, nil
		}
		if err != nil || got.status != http.StatusOK {
			return count, fmt.Errorf("request %d: status %d, %s, %w", count, got.status, got.body, err)
		}
	}
}

// isDialRefused reports whether a connection could not be opened, so that no byte of a request was sent: either nothing listens, or the
// listener was closed during the connect, which the system reports as a reset. A reset of an open connection does not count.
func isDialRefused(err error) bool {
	var operr *net.OpError
	return errors.As(err, &operr) && operr.Op == "dial" && (errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
}

func TestPlannedShutdownLosesNoRequest(t *testing.T) {
	nodes := startFleet(t, storer.NewMemory(), 3)
	ctx, cancel := context.WithCancel(t.Context())
	var senders sync.WaitGroup
	senders.Go(func() {
		count, err := sendUntil(nodes[:2], func(error) bool { return ctx.Err() != nil })
		t.Logf("%d requests to the other daemons: %v", count, err)
		if err != nil {
			t.Error(err)
		}
	})
	senders.Go(func() {
		// The stopping daemon keeps answering, also over open connections, until its listener is closed.
		count, err := sendUntil(nodes[2:], isDialRefused)
		t.Logf("%d requests to the stopping daemon: %v", count, err)
		if err != nil {
			t.Error(err)
		}
	})
	if err := nodes[2].shutDown(); err != nil {
		t.Error(err)
	}
	if nodes[2].warnings.handoverTimeout.Load() {
		t.Error("the shards were not handed over within the shutdown timeout")
	}
	cancel()
	senders.Wait()
}

func TestDrainByOperatorHandsOverAllKeys(t *testing.T) {
	nodes := startFleet(t, storer.NewMemory(), 2)
	metrics, err := send("GET", "http://"+nodes[1].settings.AdminAddress()+"/metrics", "")
	if err != nil || !strings.Contains(metrics.body, "lagoond_requests") {
		t.Errorf("got %d %.100s, %v", metrics.status, metrics.body, err)
	}
	got, err := send("POST", "http://"+nodes[1].settings.AdminAddress()+"/v1/drain", "")
	if err != nil || got.status >= http.StatusMultipleChoices {
		t.Fatalf("got %+v, %v", got, err)
	}
	await(t, "the daemon has shut down", func() bool {
		select {
		case err := <-nodes[1].done:
			nodes[1].done <- err
			return true
		default:
			return false
		}
	})
	await(t, "the other daemon serves every key", func() bool {
		for key := range 40 {
			got, err := send("GET", nodes[0].url(fmt.Sprintf("/tags/%d", key)), "")
			if err != nil || got.fields.Get("Lagoonlanding-Owner") != "status-app-1" {
				return false
			}
		}
		return true
	})
}

func TestDaemonBecomesReadyOnceTheStoreIsAvailable(t *testing.T) {
	store := storer.NewMemory()
	publish(t, store)
	store.SetDown(true)
	node := startNode(t, "status-app-1", store)
	got, err := send("GET", node.url("/.lagoonlanding/ready"), "")
	if err != nil || got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "the store has not answered yet") {
		t.Errorf("got %+v, %v", got, err)
	}
	live, err := send("GET", node.url("/.lagoonlanding/live"), "")
	if err != nil || live.status != http.StatusOK {
		t.Errorf("got %+v, %v", live, err)
	}
	store.SetDown(false)
	await(t, "the daemon is ready", func() bool {
		got, err := send("GET", node.url("/.lagoonlanding/ready"), "")
		return err == nil && got.status == http.StatusOK
	})
	if err := node.shutDown(); err != nil {
		t.Error(err)
	}
}

func TestErrorNamesThePortInUse(t *testing.T) {
	settings := parseSettings(t, "status-app-1")
	occupied, err := net.Listen("tcp", settings.CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = occupied.Close() }()
	_, err = newDaemon(settings, storer.NewMemory(), logrus.New())
	if err == nil || !strings.Contains(err.Error(), "caller-listen-address") || !strings.Contains(err.Error(), settings.CallerAddress()) {
		t.Fatalf("got %v", err)
	}
	if exitCode(err) != exitFailure {
		t.Errorf("got exit code %d", exitCode(err))
	}
	again, err := net.Listen("tcp", settings.PeerAddress())
	if err != nil {
		t.Errorf("the other listeners were left open: %v", err)
	} else {
		_ = again.Close()
	}
}

func TestOptionsAreParsedAndInvalidOnesRefused(t *testing.T) {
	t.Setenv("LAGOOND_STORE_URL", "http://10.0.0.5:2400")
	parsed, err := parseOptions([]string{"-settings", "a.toml", "-check-settings", "-log-level", "debug"})
	if err != nil || parsed.settings != "a.toml" || !parsed.checkOnly || len(parsed.overrides) != 2 {
		t.Errorf("got %+v, %v", parsed, err)
	}
	for _, args := range [][]string{{"-colour", "red"}, {"extra"}} {
		if _, err := parseOptions(args); !errors.Is(err, errUsage) || exitCode(err) != exitSettings {
			t.Errorf("%v: got %v", args, err)
		}
	}
}

func TestCheckSettingsReportsInvalidSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "lagoond.toml")
	text := `name = "status-app-1"
availability-zone = "piraeus"
region = "attica"
peer-address = "10.0.0.1:7000"
caller-address = "10.0.0.1:8000"
local-address = "127.0.0.1:9000"
admin-address = "127.0.0.1:9100"
store-url = "http://10.0.0.5:2400"
`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := run([]string{"-settings", path, "-check-settings"}); err != nil {
		t.Errorf("got %v", err)
	}
	err := run([]string{"-settings", path, "-check-settings", "-body-limit", "0"})
	if err == nil || exitCode(err) != exitSettings || !strings.Contains(err.Error(), "body-limit: 0 is outside") {
		t.Errorf("got %v", err)
	}
}
