package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding/platform"
	"lagoonlanding.example/lagoonlanding/platform/simulator"
	"lagoonlanding.example/lagoonlanding/runtime/reserver"
)

const testConfig = `{"version":%d,"routes":{
 "read":{"host":"h","prefix":"/read/","routeType":"idempotent","timeoutS":2,"targetLatencyS":1,"priority":2,"service":"plain","attempts":2},
 "write":{"host":"h","prefix":"/write/","routeType":"non_idempotent","timeoutS":2,"targetLatencyS":1,"priority":1,"service":"plain","attempts":2},
 "bulk":{"host":"h","prefix":"/bulk/","routeType":"non_idempotent","timeoutS":60,"targetLatencyS":60,"priority":2,"service":"plain","attempts":2},
 "keyed":{"host":"h","prefix":"/keyed/","routeType":"idempotent","timeoutS":2,"targetLatencyS":1,"priority":2,"service":"divided","attempts":2}},
 "services":{"plain":{"coldPerS":50},"divided":{"coldPerS":50,"sharded":true}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864}}`

// fleetNames are the daemons of a test fleet: their service, and the number of their zone.
var fleetNames = []string{"plain-1", "plain-2", "divided-1", "divided-2"}

// testDaemon is a daemon with its backend server; both run within the test process.
type testDaemon struct {
	*daemon
	backend       *simulator.Server
	clientAddress string
	cancel        context.CancelFunc
	ended         chan struct{}
}

// deployment holds the addresses of a daemon and its backend server, and the daemon's settings.
type deployment struct {
	backend       *simulator.Server
	clientAddress string
	settings      string
}

func newDeployment(name, zone, service, store string) deployment {
	clientAddress, control, port, address := reserver.Address(), reserver.Address(), reserver.Port(), reserver.Address()
	backend := simulator.NewServer(simulator.ServerConfig{
		Name: "i-" + name, Service: service, Divided: service == "divided", Address: address, AnnouncementAddress: control, Slots: 6, HeartbeatInterval: 100 * time.Millisecond,
	})
	return deployment{backend: backend, clientAddress: clientAddress, settings: fmt.Sprintf(`
nodeName = %q
ip = %q
zone = %q
portRange = [%d, %d]
metrics-port = 0
bounds = ["graceS=6", "maxHoldS=10", "budgetSlack=56"]
appAddress = %q
service = %q
[zones]
z1 = "r1"
z2 = "r2"
[listenAddresses]
outbound = %q
ready = %q
control = %q
[platform]
address = %q
`, name, reserver.Host(), zone, port, port, address, service, clientAddress, reserver.Address(), control, store)}
}

func startDaemon(t *testing.T, name, zone, service, store string, extraSettings ...string) *testDaemon {
	t.Helper()
	return startDeployment(t, newDeployment(name, zone, service, store), extraSettings...)
}

// startDeployment starts a deployment in the test process; the extra settings are lines of the settings file.
func startDeployment(t *testing.T, deployed deployment, extraSettings ...string) *testDaemon {
	t.Helper()
	settings, err := platform.ParseSettings(strings.Join(extraSettings, "\n") + deployed.settings)
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	started := &testDaemon{
		daemon: newDaemon(settings, "", log, func() uint64 { return 0 }), backend: deployed.backend, clientAddress: deployed.clientAddress, cancel: cancel,
		ended: make(chan struct{}),
	}
	go func() {
		defer close(started.ended)
		if err := started.run(ctx); err != nil {
			t.Error(err)
		}
	}()
	if err := deployed.backend.Start(ctx); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cancel(); <-started.ended })
	return started
}

// request sends a request to the client address of a daemon.
func request(clientAddress, method, path, id string, key int, body io.Reader) (int, string, http.Header) {
	httpRequest, err := http.NewRequest(method, "http://"+clientAddress+path, body)
	if err != nil {
		return 0, err.Error(), nil
	}
	httpRequest.Host = "h"
	httpRequest.Header.Set("X-Request-Id", id)
	httpRequest.Header.Set("X-Deadline-Ms", "2000")
	if strings.HasPrefix(path, "/bulk/") {
		httpRequest.Header.Set("X-Deadline-Ms", "60000")
	}
	if key >= 0 {
		httpRequest.Header.Set("X-Shard-Key", fmt.Sprint(key))
	}
	response, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return response.StatusCode, string(text), response.Header
}

// waitFor polls until the condition holds, and fails the test on timeout.
func waitFor(t *testing.T, what string, timeout time.Duration, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s: timed out after %v", what, timeout)
}

func put(t *testing.T, store *simulator.Store, key, value string) {
	t.Helper()
	if err := store.Put(key, value); err != nil {
		t.Fatal(err)
	}
}

// startFleet starts daemons of both services in both regions.
func startFleet(t *testing.T) (*simulator.Store, map[string]*testDaemon) {
	store := simulator.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return store, startFleetAt(t, store, server.Listener.Addr().String())
}

// startFleetAt starts daemons of both services in both regions with the store at the address.
func startFleetAt(t *testing.T, store *simulator.Store, address string) map[string]*testDaemon {
	put(t, store, "op/config", fmt.Sprintf(testConfig, 1))
	fleet := map[string]*testDaemon{}
	for _, name := range fleetNames {
		service, number, _ := strings.Cut(name, "-")
		fleet[name] = startDaemon(t, name, "z"+number, service, address)
	}
	waitForService(t, fleet["plain-1"].clientAddress)
	return fleet
}

// waitForService waits until the daemon at an address serves both services.
func waitForService(t *testing.T, clientAddress string) {
	t.Helper()
	waitFor(t, "the fleet serves all keys", 15*time.Second, func() bool {
		for key := 0; key < 65536; key += 1024 {
			if status, _, _ := request(clientAddress, "GET", "/keyed/x", fmt.Sprint("warm-", key), key, nil); status != 200 {
				return false
			}
		}
		status, _, _ := request(clientAddress, "GET", "/read/x", "warm", -1, nil)
		return status == 200
	})
}

func TestEndToEnd(t *testing.T) {
	store, fleet := startFleet(t)
	clientAddress := fleet["divided-1"].clientAddress
	t.Run("plain", func(t *testing.T) {
		status, text, header := request(clientAddress, "POST", "/write/x?y=%2F", "w1", -1, strings.NewReader("body"))
		if status != 200 || text != "POST /write/x?y=%2F for divided: body" || !strings.HasPrefix(header.Get("X-Server-Signature"), "signed-by-i-plain") {
			t.Errorf("%d %s %v", status, text, header)
		}
	})
	t.Run("unknown route", func(t *testing.T) {
		if status, _, _ := request(clientAddress, "GET", "/none/", "n1", -1, nil); status != 404 {
			t.Errorf("got status %d", status)
		}
	})
	t.Run("new configuration", func(t *testing.T) {
		put(t, store, "op/config", strings.ReplaceAll(fmt.Sprintf(testConfig, 5), "/read/", "/reading/"))
		waitFor(t, "the new route is served everywhere and the old one is not", 2*time.Second, func() bool {
			for _, daemon := range fleet {
				added, _, _ := request(daemon.clientAddress, "GET", "/reading/x", "c1", -1, nil)
				dropped, _, _ := request(daemon.clientAddress, "GET", "/read/x", "c2", -1, nil)
				if added != 200 || dropped != 404 {
					return false
				}
			}
			return true
		})
	})
	t.Run("evacuation moves keys", func(t *testing.T) {
		put(t, store, "op/evacuate/z1", "{}")
		waitFor(t, "zone z2 serves all keys", 5*time.Second, func() bool {
			for key := 0; key < 65536; key += 2048 {
				status, _, header := request(clientAddress, "GET", "/keyed/x", fmt.Sprint("e", key), key, nil)
				if status != 200 || header.Get("X-Server-Signature") != "signed-by-i-divided-2" {
					return false
				}
			}
			return true
		})
		store.Remove("op/evacuate/z1")
	})
	t.Run("store is down", func(t *testing.T) {
		store.SetFault(simulator.StoreRefuses)
		defer store.SetFault(simulator.StoreWorks)
		for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(50 * time.Millisecond) {
			if status, text, _ := request(clientAddress, "GET", "/keyed/x", "d1", 77, nil); status != 200 {
				t.Fatalf("after %v: %d %s", time.Since(began), status, text)
			}
		}
	})
}

// The largest body that clients may send, and how much of it a daemon may hold in memory, in bytes.
const (
	longBodyBytes = 64 << 20
	maxHeldBytes  = 16 << 20
)

func TestLongBodiesAreStreamed(t *testing.T) {
	_, fleet := startFleet(t)
	for name, declared := range map[string]int64{"declared length": longBodyBytes, "no length": -1} {
		t.Run(name, func(t *testing.T) {
			httpRequest, err := http.NewRequest("POST", "http://"+fleet["divided-1"].clientAddress+"/bulk/x", io.LimitReader(letterReader{}, longBodyBytes))
			if err != nil {
				t.Fatal(err)
			}
			httpRequest.Host, httpRequest.ContentLength = "h", declared
			httpRequest.Header.Set("X-Request-Id", name)
			httpRequest.Header.Set("X-Deadline-Ms", "60000")
			checkLongResponse(t, httpRequest)
		})
	}
}

// checkLongResponse fails if the body does not come back complete, or if too much of it is held in memory.
func checkLongResponse(t *testing.T, httpRequest *http.Request) {
	t.Helper()
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	response, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	count, chunk := 0, make([]byte, 1<<20)
	for err == nil {
		var read int
		read, err = io.ReadFull(response.Body, chunk)
		count += read
		runtime.ReadMemStats(&now)
		if held := int64(now.HeapInuse) - int64(before.HeapInuse); held > maxHeldBytes {
			t.Fatalf("%d bytes are held in memory after %d bytes were received", held, count)
		}
	}
	if response.StatusCode != 200 || count < longBodyBytes {
		t.Errorf("got status %d, %d bytes", response.StatusCode, count)
	}
}

func TestShutdownInterruptsNoRequest(t *testing.T) {
	_, fleet := startFleet(t)
	stopped := fleet["divided-1"]
	for _, daemon := range fleet {
		daemon.backend.SetRunTime(200 * time.Millisecond)
	}
	var clients sync.WaitGroup
	time.AfterFunc(300*time.Millisecond, stopped.cancel)
	for number := range 6 {
		clients.Go(func() {
			for count := 0; ; count++ {
				select {
				case <-stopped.ended:
					return
				default:
				}
				status, text, _ := request(stopped.clientAddress, "POST", "/write/x", fmt.Sprintf("s-%d-%d", number, count), -1, strings.NewReader("x"))
				if status != 200 && status != 503 && !strings.Contains(text, "refused") {
					// A refused connection did not accept the request.
					t.Errorf("got status %d: %s", status, text)
				}
				if status != 200 {
					return
				}
			}
		})
	}
	clients.Wait()
	<-stopped.ended
}

// letterReader is an endless body.
type letterReader struct{}

func (letterReader) Read(data []byte) (int, error) {
	for index := range data {
		data[index] = 'x'
	}
	return len(data), nil
}
