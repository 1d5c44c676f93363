package main

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding/platform/simulator"
)

// lateDrainConfig is the configuration of the case: site reports are divided by key.
const lateDrainConfig = `{"version":3,"routes":{` +
	`"r-site":{"host":"hulo84.example","prefix":"/site/","routeType":"idempotent","timeoutS":8,"targetLatencyS":4,"priority":1,"service":"conditions","attempts":2,"allowedRegions":[]}},` +
	`"services":{"bookings":{"healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.9},` +
	`"conditions":{"healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.9,"sharded":true,"warmupS":2.0,"grants":"heartbeat"}},` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`

const (
	// drainBound is the bound drainS.
	drainBound = 2 * time.Second
	// reportTime is how long a site report takes.
	reportTime = 500 * time.Millisecond
	// outageTime is how long the store is down.
	outageTime = 4500 * time.Millisecond
	// shardedCount is the number of upstreams of the sharded service, of which one leaves.
	shardedCount = 8
	// askInterval is the time between two requests for keys of the upstream that leaves, which can run twelve a second.
	askInterval = 50 * time.Millisecond
	loadTime    = 8 * time.Second
)

var errNoAcknowledgement = errors.New("the leaving upstream got no acknowledgement")

// lateDrain lets a busy upstream of a sharded service leave; the store goes down right after the acknowledgement.
func lateDrain(rig *rig) ([]string, error) {
	if err := rig.publish(lateDrainConfig); err != nil {
		return nil, err
	}
	for number := range shardedCount + 1 {
		config := upstreamConfig{service: "conditions", sharded: true, slots: 6, work: reportTime, keepAlive: 10 * time.Second}
		if number == shardedCount {
			config.service, config.sharded = "bookings", false
		}
		if _, err := rig.addMachine([]string{"piraeus", "marousi"}[number%2], config); err != nil {
			return nil, err
		}
	}
	if err := rig.awaitServing(map[string]string{"X-Shard-Key": "100"}, "/site/1"); err != nil {
		return nil, err
	}
	// The keys are spread over all upstreams by then.
	time.Sleep(4 * contactTerm)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	leaving := rig.machines[0]
	keys := leaving.upstream.keys()
	if len(keys) == 0 {
		return nil, errNotServing
	}
	clients.Go(func() { leaving.askBusily(stop, keys) })
	time.Sleep(loadTime)
	acked, ok := leaving.upstream.drain(5 * time.Second)
	if ok && rig.trouble {
		rig.store.SetFault(simulator.StoreRefuses)
		rig.record.printf("the store is down: it answers 503")
		time.Sleep(outageTime)
		rig.store.SetFault(simulator.StoreWorks)
		rig.record.printf("the store is back")
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	if !ok {
		return nil, errNoAcknowledgement
	}
	var broken []string
	for _, arrival := range leaving.upstream.seen() {
		if late := arrival.headAt.Sub(acked); late > drainBound && leaving.sent(arrival.id) {
			broken = append(broken, fmt.Sprintf("DRAIN: %s began %s %s (%s), sent by a client at its own machine, %.2f s after its daemon had acknowledged that it leaves",
				leaving.upstream.config.id, arrival.method, arrival.target, arrival.id, late.Seconds()))
		}
	}
	return broken, nil
}

// askBusily sends requests with the keys in turn until stop is closed.
func (machine *machine) askBusily(stop <-chan struct{}, keys []int) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(askInterval):
		}
		requests.Go(func() {
			key, id := strconv.Itoa(keys[number%len(keys)]), newID()
			machine.remember(id)
			status, _, err := machine.request(requestConfig{
				method: http.MethodGet, path: "/site/" + key, deadlineMS: 8000, headers: map[string]string{"X-Shard-Key": key}, id: id,
			})
			machine.rig.record.printf("client at %s gets %d for /site/%s (%s) %v", machine.name, status, key, id, err)
		})
	}
}

// remember records that a client at the machine sent a request.
func (machine *machine) remember(id string) {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	if machine.requests == nil {
		machine.requests = map[string]bool{}
	}
	machine.requests[id] = true
}

// sent reports whether a client at the machine sent the request.
func (machine *machine) sent(id string) bool {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	return machine.requests[id]
}
