package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// forgottenPoisonConfig is the configuration of the case.
const forgottenPoisonConfig = `{"version":3,"routes":{` +
	`"r-list":{"host":"hulo84.example","prefix":"/walks/","routeType":"idempotent","timeoutS":2,"targetLatencyS":0.6,"priority":2,"service":"bookings","attempts":2,"allowedRegions":[]}},` +
	`"services":{"bookings":{"healthCheckPath":"/health","maxConnections":120,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.9}},` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`

const (
	// poisonPath is the path of the request that crashes each upstream that begins to run it.
	poisonPath = "/walks/poison"
	// poisonInterval is the time between two arrivals of it.
	poisonInterval = 1500 * time.Millisecond
	// crashedTerm is how long a crashed upstream is down.
	crashedTerm = 2 * time.Second
	// learnTerm is how long the request comes before the planned restarts.
	learnTerm = 8 * time.Second
	// rollGap is the time between the stops of two daemons.
	rollGap = 1300 * time.Millisecond
	// afterTerm is how long the request comes after the restarts.
	afterTerm = 9 * time.Second
	// poisonMachines is the number of machines; all belong to one service, so that the caller is the same everywhere.
	poisonMachines = 4
	// rolls is how often all daemons are stopped and started in turn.
	rolls = 4
	// permittedRetries is how many retries the rule permits after the third crash.
	permittedRetries = 3
)

// forgottenPoison sends a request that crashes the upstreams again and again, while the daemons are stopped and started in turn.
func forgottenPoison(rig *rig) ([]string, error) {
	if err := rig.publish(forgottenPoisonConfig); err != nil {
		return nil, err
	}
	for number := range poisonMachines {
		config := upstreamConfig{
			service: "bookings", slots: 12, work: 40 * time.Millisecond, keepAlive: 10 * time.Second, poisonPath: poisonPath, crashedTerm: crashedTerm,
		}
		if _, err := rig.addMachine([]string{"piraeus", "marousi"}[number%2], config); err != nil {
			return nil, err
		}
	}
	if err := rig.awaitServing(nil, "/walks/1"); err != nil {
		return nil, err
	}
	time.Sleep(contactTerm)
	stop, sent := make(chan struct{}), &sentLog{}
	var clients sync.WaitGroup
	clients.Go(func() { rig.poison(stop, sent) })
	time.Sleep(learnTerm)
	for range rolls {
		if rig.trouble {
			if err := rig.roll(); err != nil {
				return nil, err
			}
		}
		time.Sleep(afterTerm)
	}
	close(stop)
	clients.Wait()
	return rig.checkPoison(sent), nil
}

// roll stops and starts the daemons in turn.
func (rig *rig) roll() error {
	var stops sync.WaitGroup
	errs := make([]error, len(rig.machines))
	for number, machine := range rig.machines {
		stops.Go(func() {
			machine.stopDaemon()
			time.Sleep(restartDelay)
			errs[number] = machine.startDaemon()
		})
		time.Sleep(rollGap)
	}
	stops.Wait()
	return errors.Join(errs...)
}

// isInTouch reports whether every daemon has been running for longer than the contact term.
func (rig *rig) isInTouch() bool {
	for _, machine := range rig.machines {
		if !machine.runsSince(contactTerm + 200*time.Millisecond) {
			return false
		}
	}
	return true
}

// sentRequest is an attempt of the client that sends the request again and again.
type sentRequest struct {
	at      time.Time
	machine *machine
	// inTouch means that the daemon of the machine had been running for the contact term.
	inTouch bool
}

// sentLog holds the attempts by ID.
type sentLog struct {
	mutex    sync.Mutex
	requests map[string]sentRequest
}

// poison sends the request at each machine in turn until stop is closed.
func (rig *rig) poison(stop <-chan struct{}, sent *sentLog) {
	sent.requests = map[string]sentRequest{}
	var requests sync.WaitGroup
	defer requests.Wait()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(poisonInterval):
		}
		machine := rig.machines[number%len(rig.machines)]
		if !rig.isInTouch() {
			// The rule does not count what is sent around the restarts.
			continue
		}
		id := newID()
		sent.mutex.Lock()
		sent.requests[id] = sentRequest{at: time.Now(), machine: machine, inTouch: machine.runsSince(contactTerm)}
		sent.mutex.Unlock()
		requests.Go(func() {
			status, _, err := machine.request(requestConfig{method: http.MethodGet, path: poisonPath, deadlineMS: 4000, id: id})
			rig.record.printf("client at %s gets %d for %s (%s) %v", machine.name, status, poisonPath, id, err)
		})
	}
}

// checkPoison returns the runs of the request later than the contact term after the third crash, if there are more than permitted.
func (rig *rig) checkPoison(sent *sentLog) []string {
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	var crashes []arrival
	servers := map[string]*machine{}
	for _, machine := range rig.machines {
		for _, arrival := range machine.upstream.seen() {
			if arrival.target == poisonPath {
				crashes = append(crashes, arrival)
				servers[arrival.id+arrival.headAt.String()] = machine
			}
		}
	}
	sortArrivals(crashes)
	rig.record.printf("%s has crashed upstreams %d times", poisonPath, len(crashes))
	if len(crashes) < 3 {
		return nil
	}
	var late []string
	third := crashes[2].headAt
	for _, crash := range crashes[3:] {
		request := sent.requests[crash.id]
		if !request.inTouch || request.at.Before(third.Add(contactTerm)) {
			continue
		}
		late = append(late, fmt.Sprintf("BUDGET: %s (%s) was sent by %s %.2f s after the third crash, and crashed an upstream at %s",
			poisonPath, crash.id, request.machine.name, request.at.Sub(third).Seconds(), servers[crash.id+crash.headAt.String()].name))
	}
	if len(late) <= permittedRetries {
		rig.record.printf("%d retries reached upstreams later than %v after the third crash", len(late), contactTerm)
		return nil
	}
	return late
}
