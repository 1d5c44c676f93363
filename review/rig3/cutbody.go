package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// cutBodyConfig is the configuration of the case: bookings are uploaded and listed.
const cutBodyConfig = `{"version":3,"routes":{` +
	`"r-list":{"host":"hulo84.example","prefix":"/walks/","routeType":"idempotent","timeoutS":2,"targetLatencyS":0.6,"priority":2,"service":"bookings","attempts":2,"allowedRegions":[]},` +
	`"r-book":{"host":"hulo84.example","prefix":"/book/","routeType":"non_idempotent","timeoutS":4,"targetLatencyS":2,"priority":1,"service":"bookings","attempts":2,"allowedRegions":[]}},` +
	`"services":{"bookings":{"healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.9},` +
	`"conditions":{"healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.9}},` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`

const (
	bookingCount = 10
	// uploadPause is the time between the head of a booking and the first part of its body, and between the parts.
	uploadPause = 400 * time.Millisecond
	// resetDelay is the time between the head of a booking and the reset.
	resetDelay = 200 * time.Millisecond
	// resetShare is the share of the connections of a machine that are reset.
	resetShare = 0.55
	keepAlive  = 10 * time.Second
)

// cutBody uploads bodies in chunks while connections between two daemons are reset.
func cutBody(rig *rig) ([]string, error) {
	if err := rig.publish(cutBodyConfig); err != nil {
		return nil, err
	}
	for _, place := range [][2]string{{"piraeus", "bookings"}, {"marousi", "conditions"}} {
		if _, err := rig.addMachine(place[0], upstreamConfig{service: place[1], slots: 6, work: 50 * time.Millisecond, keepAlive: keepAlive}); err != nil {
			return nil, err
		}
	}
	bookings, clients := rig.machines[0], rig.machines[1]
	if err := rig.awaitServing(nil, "/walks/1"); err != nil {
		return nil, err
	}
	sent, answered := map[string]string{}, map[string]int{}
	for number := range bookingCount {
		// The listing leaves an idle connection between the daemons.
		status, _, err := clients.request(requestConfig{method: http.MethodGet, path: fmt.Sprintf("/walks/%d", number), deadlineMS: 4000})
		rig.record.printf("client lists walks: %d %v", status, err)
		id, parts := newID(), []string{fmt.Sprintf("walk=%d;", number), "places=4;", "name=school-12"}
		for _, part := range parts {
			sent[id] += part
		}
		if rig.trouble {
			time.AfterFunc(resetDelay, func() {
				count, open := bookings.peers.resetShare(func() bool { return rand.Float64() < resetShare })
				rig.record.printf("%d of %d connections to the daemon of %s are reset", count, open, bookings.name)
			})
		}
		if answered[id], err = clients.upload(id, fmt.Sprintf("/book/%d", number), parts); err != nil {
			rig.record.printf("client gets no answer to %s: %v", id, err)
		}
	}
	var broken []string
	for _, arrival := range bookings.upstream.seen() {
		body, isBooking := sent[arrival.id]
		if isBooking && arrival.status == http.StatusOK && arrival.body != body {
			broken = append(broken, fmt.Sprintf("UNASKED: %s ran %s %s (%s) with the body %q, the client sent %q and got %d",
				bookings.upstream.config.id, arrival.method, arrival.target, arrival.id, arrival.body, body, answered[arrival.id]))
		}
	}
	return broken, nil
}

// upload sends a request whose body comes in chunks with pauses, and returns the status of the answer.
func (machine *machine) upload(id, path string, parts []string) (int, error) {
	connection, err := net.Dial("tcp4", machine.outbound)
	if err != nil {
		return 0, err
	}
	defer func() { _ = connection.Close() }()
	if err := connection.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return 0, err
	}
	machine.rig.record.printf("client sends the head of POST %s (%s)", path, id)
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n", path, host, id)
	for _, part := range parts {
		time.Sleep(uploadPause)
		machine.rig.record.printf("client sends %q of %s", part, id)
		if err == nil {
			_, err = fmt.Fprintf(connection, "%x\r\n%s\r\n", len(part), part)
		}
	}
	if err == nil {
		_, err = io.WriteString(connection, "0\r\n\r\n")
	}
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, err
	}
	text, err := io.ReadAll(response.Body)
	machine.rig.record.printf("client gets %d for %s: %q", response.StatusCode, id, text)
	return response.StatusCode, err
}

// readStatus reads an answer and returns its status.
func readStatus(connection net.Conn) (int, error) {
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
