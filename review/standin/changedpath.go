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

// playChangedPath sends requests whose paths begin with two slashes and contain an escaped byte, or with no trouble with one slash.
func playChangedPath(fleet *fleet, hasTrouble bool) error {
	var mutex sync.Mutex
	targets := map[string]string{}
	for range 2 {
		fleet.add("piraeus", "ledger", false).upstream.onRun = func(_ *process, request *http.Request) bool {
			mutex.Lock()
			defer mutex.Unlock()
			targets[request.Header.Get("X-Request-Id")] = request.RequestURI
			return false
		}
	}
	fleet.store.put("op/config", plainConfig)
	if err := fleet.start(); err != nil {
		return err
	}
	if err := fleet.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	slashes := "/"
	if hasTrouble {
		slashes = "//"
	}
	for _, target := range []string{"walks%20by%20day/3", "a%2Fb/c", "plain/d", "caf%C3%A9/menu?x=%20y"} {
		id := randomHex(8)
		if err := fleet.sendRaw(fleet.machines[0], id, slashes+target); err != nil {
			return err
		}
		mutex.Lock()
		got, hasRun := targets[id]
		mutex.Unlock()
		if hasRun && got != slashes+target {
			fleet.recorder.breaks("UNASKED: %s was sent with the path and query %s and run with %s", id, slashes+target, got)
		}
	}
	return nil
}

// sendRaw sends a request with exactly the given path and query.
func (fleet *fleet) sendRaw(machine *machine, id, target string) error {
	dialed, err := net.DialTimeout("tcp4", machine.at(outboundPort), time.Second)
	if err != nil {
		return err
	}
	defer dialed.Close()
	if err := dialed.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return err
	}
	fleet.recorder.log("client at %s: sends %s GET %s", machine.name, id, target)
	if _, err := fmt.Fprintf(dialed, "GET %s HTTP/1.1\r\nHost: plain.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\nConnection: close\r\n\r\n", target, id); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(dialed), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	fleet.recorder.log("client at %s: %s is answered with %d, body %q, %v", machine.name, id, response.StatusCode, body, err)
	return nil
}
