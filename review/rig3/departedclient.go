package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// departedClientConfig is the configuration of the case: reports are uploaded.
const departedClientConfig = `{"version":3,"routes":{` +
	`"r-list":{"host":"hulo84.example","prefix":"/walks/","routeType":"idempotent","timeoutS":2,"targetLatencyS":0.6,"priority":2,"service":"bookings","attempts":2,"allowedRegions":[]},` +
	`"r-report":{"host":"hulo84.example","prefix":"/report/","routeType":"idempotent","timeoutS":8,"targetLatencyS":4,"priority":2,"service":"bookings","attempts":2,"allowedRegions":[]},` +
	`"r-book":{"host":"hulo84.example","prefix":"/book/","routeType":"non_idempotent","timeoutS":8,"targetLatencyS":4,"priority":1,"service":"bookings","attempts":2,"allowedRegions":[]}},` +
	`"services":{"bookings":{"healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.9},` +
	`"conditions":{"healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.9}},` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`

const (
	// reportParts are the parts of a report, sent partInterval apart.
	reportParts, partBytes = 10, 2000
	partInterval           = 150 * time.Millisecond
	reportWork             = 2500 * time.Millisecond
	// leaveAfter is when a client leaves that gives up.
	leaveAfter = 600 * time.Millisecond
	// giveUpEvery is the inverse of the share of the clients that give up.
	giveUpEvery = 4
	// lateTerm is how long after the close an upstream may still be at work.
	lateTerm = 500 * time.Millisecond
)

// departure is a request whose client has left.
type departure struct {
	id   string
	left time.Time
}

// departedClient uploads bodies; some clients leave before they have sent all of it.
func departedClient(rig *rig) ([]string, error) {
	if err := rig.publish(departedClientConfig); err != nil {
		return nil, err
	}
	for _, place := range [][2]string{{"piraeus", "bookings"}, {"marousi", "bookings"}, {"marousi", "conditions"}} {
		if _, err := rig.addMachine(place[0], upstreamConfig{service: place[1], slots: 6, work: reportWork, keepAlive: 10 * time.Second}); err != nil {
			return nil, err
		}
	}
	if err := rig.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var mutex sync.Mutex
	var departures []departure
	var clients sync.WaitGroup
	for number := range 48 {
		time.Sleep(400 * time.Millisecond)
		machine := rig.machines[number%len(rig.machines)]
		clients.Go(func() {
			id := newID()
			left, err := machine.report(id, number, rig.trouble && number%giveUpEvery == 0)
			if err != nil {
				rig.record.printf("report %s: %v", id, err)
			}
			if !left.IsZero() {
				mutex.Lock()
				defer mutex.Unlock()
				departures = append(departures, departure{id: id, left: left})
			}
		})
	}
	clients.Wait()
	time.Sleep(8 * time.Second)
	return rig.checkDepartures(departures), nil
}

// awaitReady waits until every daemon is ready.
func (rig *rig) awaitReady() error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, machine := range rig.machines {
			ready = ready && machine.isReady()
		}
		if ready {
			return nil
		}
	}
	return errNotServing
}

// report uploads a report in parts; a client that gives up leaves before the end, and the time of that is returned.
func (machine *machine) report(id string, number int, givesUp bool) (time.Time, error) {
	connection, err := net.Dial("tcp4", machine.outbound)
	if err != nil {
		return time.Time{}, err
	}
	defer func() { _ = connection.Close() }()
	if err := connection.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return time.Time{}, err
	}
	machine.rig.record.printf("client at %s sends the head of PUT /report/%d (%s)", machine.name, number, id)
	if _, err := fmt.Fprintf(connection, "PUT /report/%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 10000\r\nContent-Length: %d\r\n\r\n", number, host, id, reportParts*partBytes); err != nil {
		return time.Time{}, err
	}
	start := time.Now()
	for range reportParts {
		if givesUp && time.Since(start) > leaveAfter {
			err := connection.Close()
			machine.rig.record.printf("client of %s leaves and closes its connection", id)
			return time.Now(), err
		}
		if _, err := fmt.Fprint(connection, strings.Repeat("x", partBytes)); err != nil {
			return time.Time{}, err
		}
		time.Sleep(partInterval)
	}
	status, err := readStatus(connection)
	machine.rig.record.printf("client gets %d for %s %v", status, id, err)
	return time.Time{}, err
}

// checkDepartures returns the requests on which an upstream was still at work too long after the client had left, if these are more than a quarter.
func (rig *rig) checkDepartures(departures []departure) []string {
	left := map[string]time.Time{}
	for _, departure := range departures {
		left[departure.id] = departure.left
	}
	lasting := 0
	var late []string
	for _, machine := range rig.machines {
		for _, arrival := range machine.upstream.seen() {
			at, ok := left[arrival.id]
			if !ok || arrival.headAt.Add(reportWork).Before(at.Add(lateTerm)) {
				continue
			}
			lasting++
			if arrival.endedAt.IsZero() || arrival.endedAt.After(at.Add(lateTerm)) {
				late = append(late, fmt.Sprintf("GONE: %s was at work on %s %s (%s) for %.2f s after the client had closed its connection",
					machine.upstream.config.id, arrival.method, arrival.target, arrival.id, arrival.endedAt.Sub(at).Seconds()))
			}
		}
	}
	rig.record.printf("%d clients left; an upstream had begun %d of their requests that would have lasted longer, and was at work on %d of them too late", len(departures), lasting, len(late))
	if len(late)*4 <= lasting {
		return nil
	}
	return late
}
