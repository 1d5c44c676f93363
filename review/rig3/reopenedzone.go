package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// reopenedZoneConfig is the configuration of the case: site conditions are divided by key.
const reopenedZoneConfig = `{"version":3,"routes":{` +
	`"r-site":{"host":"hulo84.example","prefix":"/site/","routeType":"idempotent","timeoutS":1,"targetLatencyS":0.3,"priority":1,"service":"conditions","attempts":2,"allowedRegions":[]}},` +
	`"services":{"bookings":{"healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.9},` +
	`"conditions":{"healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.9,"sharded":true,"warmupS":2.0,"grants":"heartbeat"}},` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`

const (
	// evacuateBound is the bound evacuateS.
	evacuateBound = 5 * time.Second
	// stopDelay is the time from the acknowledgement of the evacuation to the planned restart of the daemons of the zone.
	stopDelay = 8 * time.Second
	// restartDelay is the time between the end of a daemon and its start.
	restartDelay = 300 * time.Millisecond
	// evacuationTime is how long the zone is evacuated.
	evacuationTime = 26 * time.Second
	// contactTerm is the bound contactS: the machine that sends is disturbed by nothing for longer.
	contactTerm = 3 * time.Second
)

// reopenedZone restarts the daemons of an evacuated zone one after the other.
func reopenedZone(rig *rig) ([]string, error) {
	if err := rig.publish(reopenedZoneConfig); err != nil {
		return nil, err
	}
	if err := rig.addZones(); err != nil {
		return nil, err
	}
	time.Sleep(contactTerm)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { rig.machines[2].ask(stop) })
	time.Sleep(time.Second)
	evacuated, err := rig.evacuate()
	if err != nil {
		return nil, err
	}
	time.Sleep(stopDelay)
	if rig.trouble {
		for _, machine := range rig.machines[:2] {
			machine.stopDaemon()
			time.Sleep(restartDelay)
			if err := machine.startDaemon(); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(time.Until(evacuated.Add(evacuationTime)))
	close(stop)
	clients.Wait()
	return rig.checkEvacuation(evacuated), nil
}

// ask sends requests with various keys until stop is closed.
func (machine *machine) ask(stop <-chan struct{}) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
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
