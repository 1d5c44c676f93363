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

const (
	// uploadCount is the number of uploads, and pieceInterval the time between two pieces of a body.
	uploadCount   = 10
	pieceInterval = 200 * time.Millisecond
	// machineCount is the number of machines, of which the connections of one are reset.
	machineCount = 10
	// resetDelay is the time from the head of an upload to the reset of the connections of the machine that is to run it.
	resetDelay = 100 * time.Millisecond
)

// uploadPieces are the pieces of the body of an upload.
var uploadPieces = []string{"release tag 17 ", "for holder 4 ", "at bay 9"}

// playResetUpload sends requests that must not be repeated, whose bodies come in pieces. While a body is on its way, the connections between the
// daemons are reset; with no trouble they are not.
func playResetUpload(fleet *fleet, hasTrouble bool) error {
	var mutex sync.Mutex
	bodies := map[string]string{}
	for range machineCount - 1 {
		fleet.add("piraeus", "front", false)
	}
	runner := fleet.add("marousi", "ledger", false)
	runner.upstream.onRun = func(_ *process, request *http.Request) bool {
		mutex.Lock()
		defer mutex.Unlock()
		// The body has been read.
		body, _ := io.ReadAll(request.Body)
		bodies[request.Header.Get("X-Request-Id")] = string(body)
		return false
	}
	for _, machine := range fleet.machines {
		proxy, err := newProxy(machine.at(lastPeerPort), machine.at(peerPort))
		if err != nil {
			return err
		}
		machine.peerProxy = proxy
	}
	fleet.store.put("op/config", plainConfig)
	if err := fleet.start(); err != nil {
		return err
	}
	if err := fleet.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	sent := uploadPieces[0] + uploadPieces[1] + uploadPieces[2]
	hasRun := 0
	for range uploadCount {
		// A request without a body opens the connection between the daemons that the upload then uses.
		fleet.send(fleet.machines[0], requestConfig{method: http.MethodGet, host: "plain.example", path: "/reads/1", key: -1, deadline: 4 * time.Second})
		id := randomHex(8)
		if hasTrouble {
			time.AfterFunc(resetDelay, func() {
				fleet.recorder.note("%d connections between the daemons are reset", runner.peerProxy.resetAll())
			})
		}
		if err := fleet.upload(fleet.machines[0], id); err != nil {
			return err
		}
		time.Sleep(time.Second)
		mutex.Lock()
		body, ok := bodies[id]
		mutex.Unlock()
		if ok {
			hasRun++
		}
		if ok && body != sent {
			fleet.recorder.breaks("UNASKED: %s was sent with the body %q and run with %q", id, sent, body)
		}
	}
	fleet.recorder.note("%d of %d uploads were run", hasRun, uploadCount)
	if !hasTrouble && hasRun < uploadCount {
		return errNotReady
	}
	return nil
}

// upload sends a request whose body comes in chunks, one after the other.
func (fleet *fleet) upload(machine *machine, id string) error {
	dialed, err := net.DialTimeout("tcp4", machine.at(outboundPort), time.Second)
	if err != nil {
		return err
	}
	defer dialed.Close()
	if err := dialed.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return err
	}
	fleet.recorder.log("client at %s: sends %s POST /writes/1", machine.name, id)
	_, err = fmt.Fprintf(dialed, "POST /writes/1 HTTP/1.1\r\nHost: plain.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	for _, piece := range uploadPieces {
		time.Sleep(pieceInterval)
		fleet.recorder.log("client at %s: sends %q of %s", machine.name, piece, id)
		if err == nil {
			_, err = fmt.Fprintf(dialed, "%x\r\n%s\r\n", len(piece), piece)
		}
	}
	if err == nil {
		_, err = io.WriteString(dialed, "0\r\n\r\n")
	}
	if err != nil {
		fleet.recorder.log("client at %s: cannot send the rest of %s: %v", machine.name, id, err)
	}
	response, err := http.ReadResponse(bufio.NewReader(dialed), nil)
	if err != nil {
		fleet.recorder.note("client at %s: %s gets no answer: %v", machine.name, id, err)
		return nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	fleet.recorder.note("client at %s: %s is answered with %d, signature %q, body %q, %v", machine.name, id, response.StatusCode,
		response.Header.Get("X-Server-Signature"), body, err)
	return nil
}
