package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// siteConfig is the configuration of the case: site conditions are divided by key.
const siteConfig = `{"version":3,"routes":{` +
	`"r-site":{"host":"hulo84.example","prefix":"/site/","routeType":"idempotent","timeoutS":1,"targetLatencyS":0.3,"priority":1,"service":"conditions","attempts":2,"allowedRegions":[]}},` +
	`"services":{"bookings":{"healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.9},` +
	`"conditions":{"healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.9,"sharded":true,"warmupS":2.0,"grants":"heartbeat"}},` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`

const (
	// evacuateBound is the bound evacuateS.
	evacuateBound = 5 * time.Second
	// contactTerm is the bound contactS.
	contactTerm = 3 * time.Second
	// leaveDelay is the time from the acknowledgement of the evacuation to the moment at which an upstream of the zone leaves.
	leaveDelay = 8 * time.Second
	// askGap is the time between two requests of the clients.
	askGap = 15 * time.Millisecond
	// siteTime is how long a request for the conditions of a site takes.
	siteTime = 30 * time.Millisecond
	// leaveWatchTime is how long the clients go on after that.
	leaveWatchTime = 5 * time.Second
	// zoneCount is the number of upstreams of the sharded service in the zone, of which one leaves.
	zoneCount = 8
)

// leftZone lets an upstream of an evacuated zone leave.
func leftZone(rig *rig) ([]string, error) {
	if err := rig.publish(siteConfig); err != nil {
		return nil, err
	}
	if err := rig.addZones(siteTime, zoneCount); err != nil {
		return nil, err
	}
	time.Sleep(contactTerm)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { rig.machines[zoneCount].ask(stop) })
	time.Sleep(time.Second)
	evacuated, err := rig.evacuate()
	if err != nil {
		return nil, err
	}
	time.Sleep(leaveDelay)
	acknowledged := true
	if rig.trouble {
		_, acknowledged = rig.machines[0].upstream.drain(leaveWatchTime)
	}
	time.Sleep(leaveWatchTime)
	close(stop)
	clients.Wait()
	if !acknowledged {
		return nil, errNoAcknowledgement
	}
	return rig.checkEvacuation(evacuated), nil
}

// addZones starts machines of the sharded service in one zone and a machine of another service in the other zone.
func (rig *rig) addZones(work time.Duration, count int) error {
	for number := range count + 1 {
		zone, config := "piraeus", upstreamConfig{service: "conditions", sharded: true, slots: 6, work: work, keepAlive: 10 * time.Second}
		if number == count {
			zone, config.service, config.sharded = "marousi", "bookings", false
		}
		if _, err := rig.addMachine(zone, config); err != nil {
			return err
		}
	}
	return rig.awaitServing(map[string]string{"X-Shard-Key": "100"}, "/site/1")
}

// evacuate evacuates the zone of the sharded service and returns when the store acknowledged it.
func (rig *rig) evacuate() (time.Time, error) {
	if err := rig.store.Put("op/evacuate/piraeus", "{}"); err != nil {
		return time.Time{}, err
	}
	rig.record.printf("operator evacuates piraeus; the store has acknowledged it")
	return time.Now(), nil
}

// checkEvacuation returns the requests that reached the evacuated zone too late.
func (rig *rig) checkEvacuation(evacuated time.Time) []string {
	var broken []string
	for _, machine := range rig.machines[:len(rig.machines)-1] {
		for _, arrival := range machine.upstream.seen() {
			if late := arrival.headAt.Sub(evacuated); late > evacuateBound {
				broken = append(broken, fmt.Sprintf("EVAC: %s in piraeus began %s %s (%s) %.2f s after the evacuation was acknowledged",
					machine.upstream.config.id, arrival.method, arrival.target, arrival.id, late.Seconds()))
			}
		}
	}
	return broken
}

// ask sends requests with various keys until stop is closed.
func (machine *machine) ask(stop <-chan struct{}) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(askGap):
		}
		requests.Go(func() {
			key := strconv.Itoa(number * 7919 % 65536)
			status, _, err := machine.request(requestConfig{
				method: http.MethodGet, path: "/site/" + key, deadlineMS: 1500, headers: map[string]string{"X-Shard-Key": key},
			})
			machine.rig.record.printf("client at %s gets %d for /site/%s %v", machine.name, status, key, err)
		})
	}
}
