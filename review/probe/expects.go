package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// expectCount is the number of requests whose clients wait for an interim response, and expectPause the time between two of them: all are sent
	// before a client can know that the daemon is not ready any more.
	expectCount, expectPause = 6, 200 * time.Millisecond
	// expectDeadline is how long their clients wait.
	expectDeadline = 2 * time.Second
)

// probeExpects sends requests with "Expect: 100-continue" to a daemon that was told to stop.
func probeExpects(ctx context.Context, fleet *fleet, hasTrouble bool) error {
	origin, err := fleet.add("origin", "front")
	if err != nil {
		return err
	}
	server, err := fleet.add("server", "ledger")
	if err != nil {
		return err
	}
	if err := fleet.awaitReady(ctx); err != nil {
		return err
	}
	if err := fleet.awaitService(ctx, origin); err != nil {
		return err
	}
	if hasTrouble {
		fleet.record.note("daemon origin gets SIGTERM")
		if err := origin.command.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	var mutex sync.Mutex
	got, gotAt := map[string]answer{}, map[string]time.Time{}
	var clients sync.WaitGroup
	for number := range expectCount {
		time.Sleep(expectPause)
		clients.Go(func() {
			id := fmt.Sprintf("expect-%d", number)
			received := expect(fleet.record, origin.outbound, id, "/release/"+id)
			mutex.Lock()
			defer mutex.Unlock()
			got[id], gotAt[id] = received, time.Now()
		})
	}
	clients.Wait()
	for _, run := range server.upstream.ran() {
		received, ok := got[run.id]
		if !ok || received.signature != "" || !run.at.Before(gotAt[run.id]) {
			continue
		}
		if hasTrouble {
			fleet.record.breach("LOST: %s was at work at the upstream, and its client got status %d from the daemon after a SIGTERM", run.id, received.status)
		} else {
			fleet.record.note("%s was at work at the upstream, and its client got status %d from the daemon", run.id, received.status)
		}
	}
	return nil
}

// expect sends the head of a request, and its body once the daemon asks for it.
func expect(record *record, outbound, id, path string) answer {
	connection, err := net.Dial("tcp4", outbound)
	if err != nil {
		return answer{}
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(expectDeadline + time.Second))
	record.note("client sends the head of %s", id)
	if _, err := fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: tags.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n",
		path, id, expectDeadline.Milliseconds()); err != nil {
		return answer{}
	}
	reader := bufio.NewReader(connection)
	response, err := http.ReadResponse(reader, nil)
	if err == nil && response.StatusCode == http.StatusContinue {
		record.note("client is asked for the body of %s", id)
		if _, err := io.WriteString(connection, "4\r\nbody\r\n0\r\n\r\n"); err != nil {
			return answer{}
		}
		response, err = http.ReadResponse(reader, nil)
	}
	if err != nil {
		record.note("client gets no answer for %s: %v", id, err)
		return answer{}
	}
	defer response.Body.Close()
	received := answer{status: response.StatusCode, signature: response.Header.Get("X-Server-Signature")}
	record.note("client gets for %s: status %d, signature %q", id, received.status, received.signature)
	return received
}
