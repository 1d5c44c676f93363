package main

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding/platform/simulator"
)

// startBalanced starts a daemon with overload control in each zone, whose server takes 150 ms for a task.
func startBalanced(t *testing.T, service, store string) map[string]*testDaemon {
	fleet := map[string]*testDaemon{}
	for _, zone := range []string{"z1", "z2"} {
		deployed := newDeployment(service+"-"+zone, zone, service, store)
		deployed.settings = "overload-control = true\n" + deployed.settings
		fleet[zone] = startDeployment(t, deployed)
		fleet[zone].backend.SetRunTime(150 * time.Millisecond)
	}
	return fleet
}

// TestKeysOfAnOverloadedServerMove runs daemons with overload control, and guards against a server that refuses requests for its keys for as long as
// another one has room.
func TestKeysOfAnOverloadedServerMove(t *testing.T) {
	store := simulator.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	put(t, store, "op/config", fmt.Sprintf(testConfig, 1))
	fleet := startBalanced(t, "divided", server.Listener.Addr().String())
	client := fleet["z1"].clientAddress
	waitFor(t, "all keys have owners", 15*time.Second, func() bool {
		for key := 0; key < 65536; key += 4096 {
			if status, _, _ := request(client, "GET", "/keyed/x", fmt.Sprint("warm-", key), key, nil); status != 200 {
				return false
			}
		}
		return true
	})
	owned := map[bool][]int{}
	for key := 0; key < 65536; key += 256 {
		owner, _ := fleet["z1"].coordinator.Snapshot().Owner("divided", key)
		owned[owner.ID().Daemon() == "divided-z1"] = append(owned[owner.ID().Daemon() == "divided-z1"], key)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	for number := range 20 {
		clients.Go(func() {
			for count := 0; ctx.Err() == nil; count++ {
				// Nineteen of twenty requests are for the keys of one server; the others show its daemon the load of the other server.
				keys := owned[(count+number)%20 != 0]
				request(client, "GET", "/keyed/x", fmt.Sprint("k", number, "-", count), keys[(count*20+number)%len(keys)], nil)
			}
		})
	}
	waitFor(t, "keys of the overloaded server have moved", 20*time.Second, func() bool {
		moved := 0
		for _, key := range owned[true] {
			if owner, ok := fleet["z1"].coordinator.Snapshot().Owner("divided", key); ok && owner.ID().Daemon() == "divided-z2" {
				moved++
			}
		}
		return moved > len(owned[true])/10
	})
}

// TestRequestsCrossRegionsOnlyWithoutRoomInTheOwnOne runs daemons with overload control, and guards against traffic between regions while there is room,
// requests that are refused while another region has room, and crossings that no metric shows.
func TestRequestsCrossRegionsOnlyWithoutRoomInTheOwnOne(t *testing.T) {
	store := simulator.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	put(t, store, "op/config", fmt.Sprintf(testConfig, 1))
	fleet := startBalanced(t, "plain", server.Listener.Addr().String())
	client := fleet["z1"].clientAddress
	waitFor(t, "both servers are candidates", 10*time.Second, func() bool {
		status, _, _ := request(client, "GET", "/read/x", "warm", -1, nil)
		return status == 200 && len(fleet["z1"].coordinator.Snapshot().Candidates("plain")) == 2
	})
	send := func(round string, clients int) (byServer map[string]int) {
		byServer = map[string]int{}
		var mutex sync.Mutex
		var group sync.WaitGroup
		for number := range clients {
			group.Go(func() {
				status, _, header := request(client, "POST", "/write/x", fmt.Sprint(round, number), -1, strings.NewReader("body"))
				mutex.Lock()
				defer mutex.Unlock()
				byServer[fmt.Sprint(status, " ", header.Get("X-Server-Signature"))]++
			})
		}
		group.Wait()
		return byServer
	}
	// A cold server accepts 50 tasks a second.
	time.Sleep(3 * time.Second)
	for round := range 5 {
		if got := send(fmt.Sprint("few", round), 4); got["200 signed-by-i-plain-z1"] != 4 {
			t.Errorf("with room in the own region: %v", got)
		}
	}
	if got := send("many", 48); got["200 signed-by-i-plain-z2"] == 0 || got["200 signed-by-i-plain-z1"]+got["200 signed-by-i-plain-z2"] != 48 {
		t.Errorf("without room in the own region: %v", got)
	}
	wanted := []string{
		`lagoonmesh_choices{distance="zone"`, `lagoonmesh_choices{distance="other-region"`, `lagoonmesh_region_bytes{cause="body"`, `lagoonmesh_region_bytes{cause="head"`,
	}
	waitFor(t, "the metrics show the crossings", 10*time.Second, func() bool {
		recorder := httptest.NewRecorder()
		fleet["z1"].recorder.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
		for _, metric := range wanted {
			if !strings.Contains(recorder.Body.String(), metric) {
				return false
			}
		}
		return true
	})
}
