package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding/platform/simulator"
)

// TestOverloadControlOfWholeDaemons guards against parts that are not connected: two daemons get three times what the one server completes, and must keep
// it busy, refuse with a Retry-After that clients honour, refuse at the origin too, and serve all again afterwards.
func TestOverloadControlOfWholeDaemons(t *testing.T) {
	const slots, runTime, overload = 6, 100 * time.Millisecond, 4 * time.Second
	store := simulator.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	put(t, store, "op/config", fmt.Sprintf(testConfig, 1))
	owner := startDaemon(t, "plain-1", "z1", "plain", address, `contracts = ["pressure"]`)
	origin := startDaemon(t, "divided-1", "z2", "divided", address, "overload-control = true")
	owner.backend.SetRunTime(runTime)
	waitFor(t, "the server is warm", 30*time.Second, func() bool {
		status, _, _ := request(origin.clientAddress, "GET", "/read/x", "warm", -1, nil)
		return status == http.StatusOK && owner.coordinator.Snapshot().Routing() != nil
	})
	time.Sleep(4 * time.Second)
	var mutex sync.Mutex
	answered, refused := 0, 0
	var clients sync.WaitGroup
	for number, end := 0, time.Now().Add(overload); time.Now().Before(end); number++ {
		clients.Go(func() {
			status, text, header := request(origin.clientAddress, "GET", "/read/x", fmt.Sprint("overload-", number), -1, nil)
			mutex.Lock()
			defer mutex.Unlock()
			switch status {
			case http.StatusOK:
				answered++
			case http.StatusServiceUnavailable:
				refused++
				if after, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err != nil || after <= 0 || after > 2.0/3 {
					t.Errorf("Retry-After %q of a client with two seconds", header.Get("Retry-After"))
				}
			default:
				t.Errorf("status %d: %s", status, text)
			}
		})
		time.Sleep(runTime / slots / 3)
	}
	clients.Wait()
	t.Logf("%d requests answered, %d refused", answered, refused)
	if capacity := int(overload/runTime) * slots; answered < capacity/2 || refused == 0 {
		t.Errorf("%d requests answered and %d refused at a capacity of %d", answered, refused, capacity)
	}
	recorder := httptest.NewRecorder()
	waitFor(t, "the metrics show refusals at the origin", 8*time.Second, func() bool {
		recorder = httptest.NewRecorder()
		origin.recorder.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/", nil))
		return strings.Contains(recorder.Body.String(), `lagoonmesh_admission_refusals{at="origin"`)
	})
	if text := recorder.Body.String(); !strings.Contains(text, "lagoonmesh_admission_first_server_seconds") || !strings.Contains(text, "lagoonmesh_admission_level") {
		t.Error("metrics of the admission are missing")
	}
	for number := range 10 {
		if status, text, _ := request(origin.clientAddress, "GET", "/read/x", fmt.Sprint("after-", number), -1, nil); status != http.StatusOK {
			t.Errorf("after the overload: status %d: %s", status, text)
		}
	}
}
