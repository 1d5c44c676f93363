package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// The routes of the case: a listing, and a catch-all route that a change of the configuration adds.
const (
	changedPathConfig = `{"version":%d,"routes":{` +
		`"r-list":{"host":"hulo84.example","prefix":"/walks/","routeType":"idempotent","timeoutS":2,"targetLatencyS":0.6,"priority":2,"service":"bookings","attempts":2,"allowedRegions":[]}%s},` +
		`"services":{"bookings":{"healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.9},` +
		`"conditions":{"healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.9}},` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`
	catchAllRoute = `,"r-all":{"host":"hulo84.example","prefix":"/","routeType":"non_idempotent","timeoutS":2,"targetLatencyS":0.6,"priority":2,"service":"bookings","attempts":2,"allowedRegions":[]}`
)

// pathCount is the number of requests with a path of two leading slashes at each machine.
const pathCount = 5

// changedPath adds a catch-all route, and sends paths that begin with two slashes and contain an escaped character.
func changedPath(rig *rig) ([]string, error) {
	if err := rig.publish(fmt.Sprintf(changedPathConfig, 3, "")); err != nil {
		return nil, err
	}
	for _, place := range [][2]string{{"piraeus", "bookings"}, {"marousi", "conditions"}} {
		if _, err := rig.addMachine(place[0], upstreamConfig{service: place[1], slots: 6, work: 30 * time.Millisecond, keepAlive: 10 * time.Second}); err != nil {
			return nil, err
		}
	}
	if err := rig.awaitServing(nil, "/walks/1"); err != nil {
		return nil, err
	}
	if rig.trouble {
		if err := rig.publish(fmt.Sprintf(changedPathConfig, 7, catchAllRoute)); err != nil {
			return nil, err
		}
	}
	time.Sleep(2500 * time.Millisecond)
	sent := map[string]string{}
	for number := range pathCount {
		for _, machine := range rig.machines {
			id, path := newID(), fmt.Sprintf("//walks/glen%%20rose/%d", number)
			sent[id] = path
			status, err := machine.post(id, path)
			rig.record.printf("client at %s sends POST %s (%s) and gets %d %v", machine.name, path, id, status, err)
		}
	}
	var broken []string
	for _, arrival := range rig.machines[0].upstream.seen() {
		if path, ok := sent[arrival.id]; ok && arrival.target != path {
			broken = append(broken, fmt.Sprintf("UNASKED: %s ran %s %s (%s), the client sent %s", rig.machines[0].upstream.config.id, arrival.method, arrival.target, arrival.id, path))
		}
	}
	return broken, nil
}

// post sends a request without a body on a connection of its own, with the path as it is.
func (machine *machine) post(id, path string) (int, error) {
	connection, err := net.Dial("tcp4", machine.outbound)
	if err != nil {
		return 0, err
	}
	defer func() { _ = connection.Close() }()
	if err := connection.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n", path, host, id); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}
