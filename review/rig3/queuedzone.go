package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// queuedZoneConfig is the configuration of the case: unlocking goes before reading, and both are divided by key.
const queuedZoneConfig = `{"version":3,"routes":{` +
	`"r-unlock":{"host":"hulo84.example","prefix":"/unlock/","routeType":"non_idempotent","timeoutS":9,"targetLatencyS":4,"priority":1,"service":"conditions","attempts":2,"allowedRegions":[]},` +
	`"r-site":{"host":"hulo84.example","prefix":"/site/","routeType":"idempotent","timeoutS":9,"targetLatencyS":4,"priority":2,"service":"conditions","attempts":2,"allowedRegions":[]}},` +
	`"services":{"bookings":{"healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.9},` +
	`"conditions":{"healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.9,"sharded":true,"warmupS":2.0,"grants":"heartbeat"}},` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`

const (
	// unlockTime is how long a request takes at an upstream.
	unlockTime = 500 * time.Millisecond
	// busyCount is the number of upstreams of the sharded service in the zone.
	busyCount = 2
	// unlockInterval is the time between two requests; the two upstreams can run 24 a second.
	unlockInterval = 25 * time.Millisecond
	// queuedLoadTime is how long the load lasts before the evacuation, and queuedWatchTime after it.
	queuedLoadTime, queuedWatchTime = 10 * time.Second, 12 * time.Second
)

// queuedZone evacuates the zone of a sharded service whose upstreams are busy.
func queuedZone(rig *rig) ([]string, error) {
	if err := rig.publish(queuedZoneConfig); err != nil {
		return nil, err
	}
	if err := rig.addZones(unlockTime, busyCount); err != nil {
		return nil, err
	}
	time.Sleep(contactTerm)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { rig.machines[busyCount].unlock(stop) })
	time.Sleep(queuedLoadTime)
	evacuated := time.Now().Add(time.Hour)
	if rig.trouble {
		var err error
		if evacuated, err = rig.evacuate(); err != nil {
			return nil, err
		}
	}
	time.Sleep(queuedWatchTime)
	close(stop)
	clients.Wait()
	return rig.checkEvacuation(evacuated), nil
}

// unlock sends requests with various keys, one in eight of the lower priority, until stop is closed.
func (machine *machine) unlock(stop <-chan struct{}) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(unlockInterval):
		}
		requests.Go(func() {
			key := strconv.Itoa(number * 7919 % 65536)
			config := requestConfig{method: http.MethodPost, path: "/unlock/" + key, deadlineMS: 9000, headers: map[string]string{"X-Shard-Key": key}}
			if number%8 == 0 {
				config.method, config.path = http.MethodGet, "/site/"+key
			}
			status, _, err := machine.request(config)
			machine.rig.record.printf("client at %s gets %d for %s %v", machine.name, status, config.path, err)
		})
	}
}
