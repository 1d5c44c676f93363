package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// crashAfter is how long an upstream works on a request that crashes it, and backAfter how long it is down.
	crashAfter, backAfter = 30 * time.Millisecond, 2 * time.Second
	// coldTime is how long an upstream is cold after it has started during traffic.
	coldTime = 3 * time.Second
)

// run is what an upstream received and began to work on.
type run struct {
	id, target, body, caller string
	at                       time.Time
}

// arrival is a request whose head has reached an upstream.
type arrival struct {
	id string
	at time.Time
}

// upstream is a server of the platform: it announces itself to the daemon beside it and runs requests.
type upstream struct {
	record           *record
	name, service    string
	address, control string
	slots            int
	work             time.Duration
	born             int64
	mutex            sync.Mutex
	sequence         int
	state            string
	runs             []run
	arrivals         []arrival
	server           *http.Server
	cancel           context.CancelFunc
	lives            int
	// sheds reports whether a request is to be shed, and crashes whether it crashes the upstream; nil for never.
	crashes                   func(body string) bool
	lastAcknowledged, drained time.Time
}

// start serves requests and sends heartbeats until stop is called.
func (upstream *upstream) start() error {
	listener, err := net.Listen("tcp4", upstream.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.lives++
	upstream.name = fmt.Sprintf("%s.%d", strings.TrimSuffix(upstream.name, fmt.Sprintf(".%d", upstream.lives-1)), upstream.lives)
	upstream.born, upstream.sequence, upstream.state, upstream.cancel = time.Now().UnixMilli(), 0, "ready", cancel
	server := &http.Server{Handler: upstream, IdleTimeout: 10 * time.Second}
	upstream.server = server
	go func() { _ = server.Serve(listener) }()
	go upstream.announce(ctx)
	return nil
}

// stop ends the upstream, whose connections are closed.
func (upstream *upstream) stop() {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.cancel()
	_ = upstream.server.Close()
}

// crash ends the upstream, and starts it again under another name after the time.
func (upstream *upstream) crash(backAfter time.Duration) {
	upstream.record.note("%s crashes", upstream.currentName())
	upstream.stop()
	time.AfterFunc(backAfter, func() {
		if err := upstream.start(); err != nil {
			upstream.record.note("an upstream can't start again: %v", err)
			return
		}
		upstream.record.note("%s starts", upstream.currentName())
	})
}

func (upstream *upstream) currentName() string {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return upstream.name
}

// announce sends a heartbeat about every 0.87 s, as the settings say.
func (upstream *upstream) announce(ctx context.Context) {
	for ctx.Err() == nil {
		upstream.beat(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(870 * time.Millisecond):
		}
	}
}

// heartbeat returns the next heartbeat.
func (upstream *upstream) heartbeat() (name, state string, text []byte, err error) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.sequence++
	cold := time.Duration(0)
	if upstream.lives > 1 {
		// It has started during traffic.
		cold = max(coldTime-time.Since(time.UnixMilli(upstream.born)), 0)
	}
	text, err = json.Marshal(map[string]any{
		"address": upstream.address, "born": upstream.born,
		"info":   map[string]any{"service": upstream.service, "version": "v1", "zone": "piraeus", "slots": upstream.slots},
		"status": map[string]any{"state": upstream.state, "sequence": upstream.sequence, "coldRemainingS": cold.Seconds()},
	})
	return upstream.name, upstream.state, text, err
}

// leave deregisters the upstream until that is acknowledged, and returns when it was. It sends no heartbeat any more, and goes on serving.
func (upstream *upstream) leave(ctx context.Context) (time.Time, error) {
	upstream.mutex.Lock()
	upstream.cancel()
	name := upstream.name
	text, err := json.Marshal(map[string]any{"born": upstream.born})
	upstream.mutex.Unlock()
	for err == nil && ctx.Err() == nil {
		status, failure := upstream.call(ctx, "instances.deregister", name, text)
		if failure == nil && status == http.StatusOK {
			upstream.record.note("the deregistration of %s is acknowledged", name)
			return time.Now(), nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("the deregistration is not acknowledged: %w", errors.Join(err, ctx.Err()))
}

func (upstream *upstream) beat(ctx context.Context) {
	name, state, text, err := upstream.heartbeat()
	if err != nil {
		return
	}
	status, err := upstream.call(ctx, "instances.heartbeat", name, text)
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if err == nil && status == http.StatusOK {
		upstream.lastAcknowledged = time.Now()
		if state == "draining" && upstream.drained.IsZero() {
			upstream.drained = time.Now()
		}
	}
}

// call makes a call to the daemon beside the upstream; an answer after a second does not count.
func (upstream *upstream) call(ctx context.Context, call, name string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/rpc?call=%s&of=%s", upstream.control, call, name), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// ServeHTTP runs a request once its whole body has arrived.
func (upstream *upstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	writer.Header().Set("X-Request-Id", id)
	name := upstream.currentName()
	if request.URL.Path == "/health" {
		writer.Header().Set("X-Instance-Id", name)
		return
	}
	if request.Header.Get("X-Target-Instance") != name {
		writer.Header().Set("X-Not-Executed", "1")
		writer.Header().Set("X-Instance-Id", name)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	upstream.arrive(id)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		upstream.record.note("%s does not run %s: its body broke off after %d bytes: %v", name, id, len(body), err)
		panic(http.ErrAbortHandler)
	}
	upstream.addRun(run{id: id, target: request.RequestURI, body: string(body), caller: request.Header.Get("X-Caller-Service"), at: time.Now()})
	upstream.record.note("%s runs %s: %s %s, %d bytes %.60q", name, id, request.Method, request.RequestURI, len(body), body)
	if upstream.crashes != nil && upstream.crashes(string(body)) {
		time.Sleep(crashAfter)
		upstream.crash(backAfter)
		panic(http.ErrAbortHandler)
	}
	work := upstream.workTime()
	deadline, _ := strconv.Atoi(request.Header.Get("X-Deadline-Ms"))
	if time.Duration(deadline)*time.Millisecond < work {
		time.Sleep(time.Duration(deadline) * time.Millisecond)
		writer.Header().Set("X-Server-Signature", "signed-by-"+name)
		writer.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	time.Sleep(work)
	writer.Header().Set("X-Server-Signature", "signed-by-"+name)
	_, _ = fmt.Fprintf(writer, "done %s", id)
}

func (upstream *upstream) arrive(id string) {
	upstream.record.note("%s gets the head of %s", upstream.currentName(), id)
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.arrivals = append(upstream.arrivals, arrival{id: id, at: time.Now()})
}

// arrived returns the arrivals so far.
func (upstream *upstream) arrived() []arrival {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return append([]arrival(nil), upstream.arrivals...)
}

// set changes the number of slots that the upstream announces, and how long a request takes.
func (upstream *upstream) set(slots int, work time.Duration) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.slots, upstream.work = slots, work
}

// workTime returns how long a request takes.
func (upstream *upstream) workTime() time.Duration {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return upstream.work
}

func (upstream *upstream) addRun(added run) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.runs = append(upstream.runs, added)
}

// ran returns the runs so far.
func (upstream *upstream) ran() []run {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return append([]run(nil), upstream.runs...)
}

// sortRuns sorts runs by their time.
func sortRuns(runs []run) {
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
}
