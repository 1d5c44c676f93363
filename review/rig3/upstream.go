package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is the time between two heartbeats.
const heartbeatInterval = 870 * time.Millisecond

// upstreamConfig describes a backend server.
type upstreamConfig struct {
	id, service, zone, address, control string
	sharded                             bool
	slots                               int
	// work is how long a request takes.
	work time.Duration
	// keepAlive is how long an idle connection is kept; the responses state it.
	keepAlive time.Duration
	// answerBytes is the length of an answer, zero for a short one.
	answerBytes int
	record      *record
}

// arrival is a request at a backend server.
type arrival struct {
	id, method, target, body string
	// headAt is when its head arrived, endedAt when the work on it ended.
	headAt, endedAt time.Time
	// status is that of the answer, zero if the connection was closed before.
	status int
}

// heldRange is a range of keys that the backend server holds.
type heldRange struct {
	first, last int
	fence       int64
}

// upstream is a backend server that follows the users' pages.
type upstream struct {
	config upstreamConfig

	mutex    sync.Mutex
	cancel   context.CancelFunc
	server   *http.Server
	born     int64
	sequence int64
	// draining means that the backend server leaves, leaveAcked is when its daemon acknowledged that.
	draining   bool
	leaveAcked time.Time
	held       []heldRange
	heldUntil  time.Time
	released   [][3]any
	running    int
	arrivals   []*arrival
	// garbleShare is the share of the answers that are broken off in the middle.
	garbleShare float64
}

func newUpstream(config upstreamConfig) *upstream { return &upstream{config: config} }

// start starts a new incarnation.
func (upstream *upstream) start() error {
	listener, err := net.Listen("tcp4", upstream.config.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{Handler: upstream, IdleTimeout: upstream.config.keepAlive}
	upstream.mutex.Lock()
	upstream.cancel, upstream.server, upstream.born, upstream.sequence = cancel, server, time.Now().UnixMilli(), 0
	upstream.held, upstream.released, upstream.running, upstream.draining, upstream.leaveAcked = nil, nil, 0, false, time.Time{}
	upstream.mutex.Unlock()
	upstream.config.record.printf("upstream %s of %s started", upstream.config.id, upstream.config.service)
	go func() { _ = server.Serve(listener) }()
	go upstream.beat(ctx)
	return nil
}

// crash ends the incarnation with its connections.
func (upstream *upstream) crash() {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if upstream.cancel == nil {
		return
	}
	upstream.cancel()
	upstream.cancel = nil
	_ = upstream.server.Close()
	upstream.held, upstream.released = nil, nil
	upstream.config.record.printf("upstream %s ended", upstream.config.id)
}

// drain makes the backend server say at its next heartbeat that it leaves, and returns when that was acknowledged.
func (upstream *upstream) drain(timeout time.Duration) (time.Time, bool) {
	upstream.mutex.Lock()
	upstream.draining = true
	upstream.mutex.Unlock()
	upstream.config.record.printf("upstream %s leaves", upstream.config.id)
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		upstream.mutex.Lock()
		acked := upstream.leaveAcked
		upstream.mutex.Unlock()
		if !acked.IsZero() {
			upstream.config.record.printf("the daemon beside %s has acknowledged that it leaves", upstream.config.id)
			return acked, true
		}
	}
	return time.Time{}, false
}

// garble sets the share of the answers that are broken off.
func (upstream *upstream) garble(share float64) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.garbleShare = share
	upstream.config.record.printf("upstream %s breaks off %v of its answers from now on", upstream.config.id, share)
}

func (upstream *upstream) garbled() float64 {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return upstream.garbleShare
}

// seen returns the requests that arrived and were not refused.
func (upstream *upstream) seen() []arrival {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	var seen []arrival
	for _, arrival := range upstream.arrivals {
		seen = append(seen, *arrival)
	}
	return seen
}

// holds reports whether the backend server holds a key; callers hold the mutex.
func (upstream *upstream) holds(key int) bool {
	if time.Now().After(upstream.heldUntil) {
		return false
	}
	for _, held := range upstream.held {
		if held.first <= key && key <= held.last {
			return true
		}
	}
	return false
}

// keys returns a key of each range that the backend server holds.
func (upstream *upstream) keys() []int {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	var keys []int
	for _, held := range upstream.held {
		keys = append(keys, held.first)
	}
	return keys
}

// enter takes a slot, or returns the status of the refusal.
func (upstream *upstream) enter(request *http.Request) int {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if target := request.Header.Get("X-Target-Instance"); target != "" && target != upstream.config.id {
		return http.StatusMisdirectedRequest
	}
	if key, err := strconv.Atoi(request.Header.Get("X-Shard-Key")); upstream.config.sharded && (err != nil || !upstream.holds(key)) {
		return http.StatusMisdirectedRequest
	}
	if upstream.running >= upstream.config.slots {
		return http.StatusServiceUnavailable
	}
	upstream.running++
	return 0
}

// ServeHTTP runs a request: it holds a slot from the arrival of the head until the answer.
func (upstream *upstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	header := writer.Header()
	header.Set("X-Request-Id", id)
	header.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(upstream.config.keepAlive.Seconds())))
	if status := upstream.enter(request); status != 0 {
		header.Set("X-Not-Executed", "1")
		writer.WriteHeader(status)
		return
	}
	arrived := &arrival{id: id, method: request.Method, target: request.RequestURI, headAt: time.Now()}
	upstream.mutex.Lock()
	upstream.arrivals = append(upstream.arrivals, arrived)
	upstream.mutex.Unlock()
	upstream.config.record.printf("%s begins %s %s (%s)", upstream.config.id, request.Method, request.RequestURI, id)
	status, body := upstream.work(request)
	upstream.mutex.Lock()
	upstream.running--
	arrived.endedAt, arrived.body, arrived.status = time.Now(), body, status
	upstream.mutex.Unlock()
	upstream.config.record.printf("%s ends %s with %d; the body of the request has %d bytes", upstream.config.id, id, status, len(body))
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	header.Set("X-Server-Signature", "sig-"+id)
	answer := fmt.Sprintf("%s %s %s", upstream.config.id, request.RequestURI, body)
	if missing := upstream.config.answerBytes - len(answer); missing > 0 {
		answer += strings.Repeat(".", missing)
	}
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	writer.WriteHeader(status)
	if rand.Float64() < upstream.garbled() {
		upstream.config.record.printf("%s breaks off its answer to %s", upstream.config.id, id)
		_, _ = io.WriteString(writer, answer[:len(answer)*3/4])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(writer, answer)
}

// work returns the status of the answer and the body of the request; the status is zero if the connection was closed.
func (upstream *upstream) work(request *http.Request) (int, string) {
	done := time.NewTimer(upstream.config.work)
	defer done.Stop()
	deadline := time.Hour
	if milliseconds, err := strconv.Atoi(request.Header.Get("X-Deadline-Ms")); err == nil {
		deadline = time.Duration(milliseconds) * time.Millisecond
	}
	late := time.NewTimer(deadline)
	defer late.Stop()
	text, err := make([]byte, 0), error(nil)
	read := make(chan struct{})
	go func() {
		text, err = io.ReadAll(request.Body)
		close(read)
	}()
	for waitsForBody, works := true, true; waitsForBody || works; {
		var bodyRead <-chan struct{}
		if waitsForBody {
			bodyRead = read
		}
		select {
		case <-bodyRead:
			waitsForBody = false
			if err != nil {
				return 0, string(text)
			}
		case <-done.C:
			works = false
		case <-late.C:
			return http.StatusGatewayTimeout, ""
		case <-request.Context().Done():
			return 0, ""
		}
	}
	return http.StatusOK, string(text)
}

// beat sends heartbeats until the incarnation ends.
func (upstream *upstream) beat(ctx context.Context) {
	for ctx.Err() == nil {
		next := heartbeatInterval
		if upstream.sendBeat(ctx) {
			next = 100 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(next):
		}
	}
}

// sendBeat sends one heartbeat and reports whether the backend server has released keys that the next one has to tell.
func (upstream *upstream) sendBeat(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	sent := time.Now()
	upstream.mutex.Lock()
	upstream.sequence++
	state := "ready"
	if upstream.draining {
		state = "draining"
	}
	rows := [][3]int64{}
	if sent.Before(upstream.heldUntil) {
		for _, held := range upstream.held {
			rows = append(rows, [3]int64{int64(held.first), int64(held.last), held.fence})
		}
	}
	reported := len(upstream.released)
	body := map[string]any{
		"address": upstream.config.address, "born": upstream.born,
		"info":   map[string]any{"service": upstream.config.service, "version": "v1", "zone": upstream.config.zone, "slots": upstream.config.slots},
		"status": map[string]any{"state": state, "sequence": upstream.sequence, "coldRemainingS": 0},
		"holds":  rows, "released": append([][3]any{}, upstream.released...),
	}
	upstream.mutex.Unlock()
	text, err := json.Marshal(body)
	if err != nil {
		return false
	}
	target := "http://" + upstream.config.control + "/rpc?call=instances.heartbeat&of=" + upstream.config.id
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(text))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Holds *[][4]any `json:"holds"`
		HoldS float64   `json:"holdS"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, 4<<10)).Decode(&answer); err != nil || response.StatusCode != http.StatusOK {
		return false
	}
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if state == "draining" && upstream.leaveAcked.IsZero() {
		upstream.leaveAcked = time.Now()
	}
	upstream.released = upstream.released[min(reported, len(upstream.released)):]
	if answer.Holds == nil {
		return false
	}
	return upstream.apply(sent, *answer.Holds, answer.HoldS)
}

// apply replaces the held ranges, and reports whether any was released; the caller holds the mutex.
func (upstream *upstream) apply(sent time.Time, rows [][4]any, holdS float64) bool {
	var ranges []heldRange
	for _, row := range rows {
		first, ok1 := row[0].(float64)
		last, ok2 := row[1].(float64)
		fence, ok3 := row[2].(float64)
		if ok1 && ok2 && ok3 {
			ranges = append(ranges, heldRange{first: int(first), last: int(last), fence: int64(fence)})
		}
	}
	hasReleased := false
	for _, old := range upstream.held {
		next := old.first
		for _, held := range ranges {
			if held.first <= next && next <= held.last {
				next = held.last + 1
			}
		}
		if next <= old.last {
			upstream.released = append(upstream.released, [3]any{old.first, old.last, fmt.Sprintf("%016x", old.fence)})
			hasReleased = true
		}
	}
	upstream.held, upstream.heldUntil = ranges, sent.Add(time.Duration(holdS*float64(time.Second)))
	return hasReleased
}
