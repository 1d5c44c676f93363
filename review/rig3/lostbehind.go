package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// lostBehindConfig is the configuration of the case: trail maps are long answers of one service, walk lists short ones of another.
const lostBehindConfig = `{"version":3,"routes":{` +
	`"r-map":{"host":"hulo84.example","prefix":"/map/","routeType":"idempotent","timeoutS":2,"targetLatencyS":0.6,"priority":2,"service":"conditions","attempts":2,"allowedRegions":[]},` +
	`"r-list":{"host":"hulo84.example","prefix":"/walks/","routeType":"idempotent","timeoutS":2,"targetLatencyS":0.6,"priority":2,"service":"bookings","attempts":2,"allowedRegions":[]}},` +
	`"services":{"bookings":{"healthCheckPath":"/health","maxConnections":120,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.9},` +
	`"conditions":{"healthCheckPath":"/health","maxConnections":120,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.9}},` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`

const (
	// mapBytes is the length of a trail map.
	mapBytes = 120 << 10
	// garbleShare is the share of the answers that a garbling backend server breaks off.
	garbleShare = 0.02
	// garbleDelay and garbleTime are when it begins to do so and for how long.
	garbleDelay, garbleTime = 3 * time.Second, 5 * time.Second
	// browsers is the number of clients, each with a kept connection, and browseTime how long they browse.
	browsers, browseTime = 16, 12 * time.Second
	browsePause          = 40 * time.Millisecond
)

// lostAnswer is a request that got no answer.
type lostAnswer struct {
	id   string
	at   time.Time
	path string
}

// lostBehind sends requests ahead on kept connections while a backend server breaks off some of its answers.
func lostBehind(rig *rig) ([]string, error) {
	if err := rig.publish(lostBehindConfig); err != nil {
		return nil, err
	}
	for number, service := range []string{"conditions", "bookings", "conditions", "bookings", "conditions"} {
		zone := []string{"piraeus", "marousi"}[number%2]
		config := upstreamConfig{service: service, slots: 12, work: 10 * time.Millisecond, keepAlive: 10 * time.Second}
		if service == "conditions" {
			config.answerBytes = mapBytes
		}
		if _, err := rig.addMachine(zone, config); err != nil {
			return nil, err
		}
	}
	if err := rig.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	var mutex sync.Mutex
	var lost []lostAnswer
	var clients sync.WaitGroup
	end := time.Now().Add(browseTime)
	for number := range browsers {
		machine := rig.machines[number%len(rig.machines)]
		clients.Go(func() {
			for time.Now().Before(end) {
				found := machine.browse(end)
				mutex.Lock()
				lost = append(lost, found...)
				mutex.Unlock()
			}
		})
	}
	faulty := rig.machines[0].upstream
	if rig.trouble {
		time.Sleep(garbleDelay)
		faulty.garble(garbleShare)
		time.Sleep(garbleTime)
		faulty.garble(0)
	}
	clients.Wait()
	time.Sleep(time.Second)
	return rig.checkLost(lost), nil
}

// browse keeps a connection for groups of requests, each sent before the answers to those before it, until the connection ends; it returns the
// requests that then had no answer, but the one whose answer broke off.
func (machine *machine) browse(end time.Time) []lostAnswer {
	connection, err := net.Dial("tcp4", machine.outbound)
	if err != nil {
		time.Sleep(browsePause)
		return nil
	}
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for round := 0; time.Now().Before(end); round++ {
		if err := connection.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
			return nil
		}
		group := []lostAnswer{}
		for position, path := range []string{"/map/", "/walks/", "/walks/"} {
			asked := lostAnswer{id: newID(), path: fmt.Sprint(path, round*3+position)}
			group = append(group, asked)
			if _, err := fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\n\r\n", asked.path, host, asked.id); err != nil {
				return nil
			}
		}
		for position, asked := range group {
			closes, err := machine.readAnswer(reader, asked)
			if err == nil && !closes {
				continue
			}
			if closes {
				// What was sent behind an answer that closes the connection counts as not read.
				return nil
			}
			behind := group[position+1:]
			for index := range behind {
				behind[index].at = time.Now()
			}
			machine.rig.record.printf("connection %d of a client at %s ended: %s of round %d: %v; without an answer behind it: %v", connection.LocalAddr().(*net.TCPAddr).Port, machine.name, asked.id, round, err, ids(behind))
			if round == 0 {
				// The connection has not been kept yet.
				return nil
			}
			return behind
		}
		time.Sleep(browsePause)
	}
	return nil
}

func ids(asked []lostAnswer) []string {
	var found []string
	for _, lost := range asked {
		found = append(found, lost.id)
	}
	return found
}

// readAnswer reads an answer and reports whether it announces that the connection is closed.
func (machine *machine) readAnswer(reader *bufio.Reader, asked lostAnswer) (bool, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false, err
	}
	count, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		return false, fmt.Errorf("the answer with status %d ended after %d bytes: %w", response.StatusCode, count, err)
	}
	machine.rig.record.printf("client gets %d for %s with %d bytes", response.StatusCode, asked.id, count)
	return response.Close, nil
}

// checkLost returns the lost requests that were passed on to a sound backend server, if there are more than three.
func (rig *rig) checkLost(lost []lostAnswer) []string {
	var broken []string
	for _, machine := range rig.machines {
		if machine == rig.machines[0] {
			// This one is not sound.
			continue
		}
		for _, arrival := range machine.upstream.seen() {
			for _, asked := range lost {
				if arrival.id == asked.id && arrival.headAt.Before(asked.at) {
					broken = append(broken, fmt.Sprintf("LOST: %s on a kept connection was passed on to %s (%s), which is sound and was at work on it for %v (status %d); the connection ended without an answer",
						asked.id, machine.upstream.config.id, arrival.target, arrival.endedAt.Sub(arrival.headAt).Round(time.Millisecond), arrival.status))
				}
			}
		}
	}
	rig.record.printf("%d requests behind a broken answer had none; %d of them had been passed on to a sound upstream", len(lost), len(broken))
	if len(broken) <= 3 {
		return nil
	}
	return broken
}
