package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
	"lagoonlanding.example/lagoonlanding/adapters/invoker"
	"lagoonlanding.example/lagoonlanding/adapters/loader"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/runtime/reserver"
)

// awaitTimeout limits the wait for a condition.
const awaitTimeout = 30 * time.Second

// await waits until the condition holds.
func await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), awaitTimeout)
	defer cancel()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatalf("timed out waiting: %s", what)
		}
	}
}

func parseSettings(t testing.TB, name string) loader.Settings {
	t.Helper()
	text := fmt.Sprintf(`name = %q
availability-zone = "piraeus"
region = "attica"
peer-address = %q
caller-address = %q
local-address = %q
admin-address = %q
store-url = "http://127.0.0.1:1"
`, name, reserver.Address(), reserver.Address(), reserver.Address(), reserver.Address())
	settings, err := loader.Parse("test.toml", text, nil)
	if err != nil {
		t.Fatal(err)
	}
	return settings
}

// backend is a backend server that counts the requests it ran and echoes them.
type backend struct {
	server *httptest.Server
	runs   atomic.Int64
}

func (backend *backend) ServeHTTP(writer http.ResponseWriter, message *http.Request) {
	if message.URL.Path == invoker.ReportPath {
		data, _ := invoker.EncodeReport(lagoonlanding.NewUpstreamReport(true, 0, 6))
		_, _ = writer.Write(data)
		return
	}
	body, _ := io.ReadAll(message.Body)
	backend.runs.Add(1)
	writer.Header().Set(invoker.HeaderRequestID, message.Header.Get(invoker.HeaderRequestID))
	_, _ = fmt.Fprintf(writer, "%s %s %s", message.Method, message.URL.Path, body)
}

// node is a daemon of a fleet and its backend server.
type node struct {
	settings loader.Settings
	daemon   *daemon
	backend  *backend
	stop     context.CancelFunc
	done     chan error
	warnings warnings
}

// warnings is a log hook that records whether the handover timed out.
type warnings struct{ handoverTimeout atomic.Bool }

func (warnings *warnings) Levels() []logrus.Level { return []logrus.Level{logrus.WarnLevel} }

func (warnings *warnings) Fire(entry *logrus.Entry) error {
	if entry.Message == warningHandoverTimeout {
		warnings.handoverTimeout.Store(true)
	}
	return nil
}

func startNode(t testing.TB, name string, store lagoonlanding.Store) *node {
	t.Helper()
	log := logrus.New()
	if testing.Verbose() {
		log.SetLevel(logrus.InfoLevel)
	} else {
		log.SetOutput(io.Discard)
	}
	node := &node{settings: parseSettings(t, name), backend: &backend{}, done: make(chan error, 1)}
	log.AddHook(&node.warnings)
	daemon, err := newDaemon(node.settings, store, log)
	if err != nil {
		t.Fatal(err)
	}
	node.daemon = daemon
	node.backend.server = httptest.NewServer(node.backend)
	ctx, cancel := context.WithCancel(context.Background())
	node.stop = cancel
	go func() { node.done <- daemon.run(ctx) }()
	t.Cleanup(node.backend.server.Close)
	return node
}

// shutDown stops the daemon and returns the result of its run.
func (node *node) shutDown() error {
	node.stop()
	err := <-node.done
	node.done <- err
	return err
}

func (node *node) announce(t testing.TB) {
	t.Helper()
	address := strings.TrimPrefix(node.backend.server.URL, "http://")
	body := fmt.Sprintf(`{"service":"status-app","address":%q,"slots":6}`, address)
	response, err := http.Post("http://"+node.settings.LocalAddress()+"/upstream", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		t.Fatalf("the announcement got status %d", response.StatusCode)
	}
}

func (node *node) url(path string) string { return "http://" + node.settings.CallerAddress() + path }

func publish(t testing.TB, store lagoonlanding.Store) {
	t.Helper()
	partition := publisher.NewPartition(publisher.PartitionConfig{Name: "attica", Regions: []string{"attica"}, Shards: 16})
	set := publisher.NewSet(publisher.SetConfig{
		Version:           1,
		HomeRegions:       []publisher.HomeRegion{publisher.NewHomeRegion(publisher.HomeRegionConfig{Name: "attica"})},
		AvailabilityZones: []publisher.AvailabilityZone{publisher.NewAvailabilityZone(publisher.AvailabilityZoneConfig{Name: "piraeus", Region: "attica"})},
		Services: []publisher.Service{publisher.NewService(publisher.ServiceConfig{
			Name: "status-app", Divided: true, Partitions: []publisher.Partition{partition}, ChecksFence: true,
			LongestDeadline: 5 * time.Second, Slots: 6, Connections: 110, Queue: 100,
		})},
		Workspaces: []publisher.Workspace{publisher.NewWorkspace(publisher.WorkspaceConfig{Name: "mesh"})},
		Tenants:    []publisher.Tenant{publisher.NewTenant(publisher.TenantConfig{Name: "mall", Workspace: "mesh", Weight: 1})},
		Classes:    []publisher.Class{publisher.NewClass(publisher.ClassConfig{Name: "lookup", Cost: 1})},
		Routes: []publisher.Route{publisher.NewRoute(publisher.RouteConfig{
			Name: "tags", Path: "/tags/{key}", Service: "status-app", Class: "lookup",
		})},
	})
	data, err := encoder.Sets{}.Encode(set)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.CompareAndSwap(t.Context(), lagoonlanding.SetKey, 0, data); err != nil {
		t.Fatal(err)
	}
}

// answer is the response that a caller received.
type answer struct {
	status int
	fields http.Header
	body   string
}

func send(method, url, body string, fields ...string) (answer, error) {
	message, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{}, err
	}
	message.Header.Set("Lagoonlanding-Tenant", "mall")
	for i := 0; i < len(fields); i += 2 {
		message.Header.Set(fields[i], fields[i+1])
	}
	response, err := http.DefaultClient.Do(message)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, fields: response.Header, body: string(data)}, err
}

// startFleet publishes a set, starts daemons with a backend server each and waits until each of them owns at least one key.
func startFleet(t testing.TB, store lagoonlanding.Store, size int) []*node {
	t.Helper()
	publish(t, store)
	var nodes []*node
	for i := range size {
		node := startNode(t, fmt.Sprintf("status-app-%d", i+1), store)
		t.Cleanup(func() {
			if err := node.shutDown(); err != nil {
				t.Error(err)
			}
		})
		node.announce(t)
		nodes = append(nodes, node)
	}
	await(t, "every daemon owns a key", func() bool {
		owners := make(map[string]bool)
		for i := range 40 {
			got, err := send("GET", nodes[i%size].url(fmt.Sprintf("/tags/%d", i)), "")
			if err != nil || got.status != http.StatusOK {
				return false
			}
			owners[got.fields.Get("Lagoonlanding-Owner")] = true
		}
		return len(owners) == size
	})
	return nodes
}
