package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// beatInterval is the time between two heartbeats, and beatTimeout that after which an acknowledgement no longer counts.
	beatInterval = 870 * time.Millisecond
	beatTimeout  = time.Second
	// releaseInterval is the time until the next heartbeat while the upstream still has something to release.
	releaseInterval = 100 * time.Millisecond
	// maxAckBytes limits an acknowledgement.
	maxAckBytes = 4 << 10
	// slotCount is the number of requests that run at the same time, and queueCount the number of those that wait.
	slotCount  = 6
	queueCount = 24
)

// grant is a range of keys that an upstream holds until it expires.
type grant struct {
	first, last int
	fence       int64
	until       time.Time
}

// upstream is a stand-in for an application upstream, whose process can crash and start again.
type upstream struct {
	recorder *recorder
	ledger   *keyLedger
	service  string
	zone     string
	address  string
	control  string
	sharded  bool
	workTime time.Duration
	// onRun is called with each request that begins to run; it returns true if the request crashes the process.
	onRun func(process *process, request *http.Request) bool
	// serve serves connections in place of the sound server; nil for that.
	serve func(process *process, listener net.Listener)

	mutex   sync.Mutex
	current *process
}

// process is one life of an upstream.
type process struct {
	upstream *upstream
	id       string
	born     int64
	ctx      context.Context
	cancel   context.CancelFunc
	server   *http.Server
	slots    chan struct{}

	mutex    sync.Mutex
	sequence int64
	waiting  int
	grants   []grant
	closing  []grant
	released [][3]any
	running  map[int]int
	fences   [keyCount / blockKeys]int64
	// isLeaving means that the process sends no more heartbeats, but goes on serving.
	isLeaving bool
}

// start starts a new process of the upstream.
func (upstream *upstream) start() error {
	listener, err := net.Listen("tcp4", upstream.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := &process{
		upstream: upstream, id: "i-" + randomHex(5), born: time.Now().UnixMilli(), ctx: ctx, cancel: cancel,
		slots: make(chan struct{}, slotCount), running: map[int]int{},
	}
	started.server = &http.Server{Handler: started, IdleTimeout: 10 * time.Second}
	upstream.mutex.Lock()
	upstream.current = started
	upstream.mutex.Unlock()
	upstream.recorder.note("upstream %s of %s at %s: started", started.id, upstream.service, upstream.address)
	switch {
	case upstream.serve != nil:
		go upstream.serve(started, listener)
	default:
		go func() { _ = started.server.Serve(listener) }()
	}
	go started.beat()
	return nil
}

// crash ends the current process at once.
func (upstream *upstream) crash() {
	upstream.mutex.Lock()
	crashed := upstream.current
	upstream.current = nil
	upstream.mutex.Unlock()
	if crashed == nil {
		return
	}
	crashed.cancel()
	crashed.server.Close()
	upstream.ledger.end(time.Now(), crashed.id)
	upstream.recorder.note("upstream %s of %s at %s: crashed", crashed.id, upstream.service, upstream.address)
}

func randomHex(length int) string {
	data := make([]byte, length)
	// The generator of the system does not fail.
	_, _ = rand.Read(data)
	return hex.EncodeToString(data)
}

// ServeHTTP runs a request or refuses it.
func (process *process) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	writer.Header().Set("X-Request-Id", id)
	key, status := process.admit(request)
	if status != 0 {
		process.upstream.recorder.log("upstream %s: refuses %s with %d", process.id, id, status)
		writer.Header().Set("X-Not-Executed", "1")
		writer.WriteHeader(status)
		return
	}
	defer process.leave(key)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		process.upstream.recorder.log("upstream %s: does not run %s, whose body broke off: %v", process.id, id, err)
		panic(http.ErrAbortHandler)
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	select {
	case process.slots <- struct{}{}:
	case <-request.Context().Done():
		panic(http.ErrAbortHandler)
	}
	defer func() { <-process.slots }()
	process.upstream.recorder.log("upstream %s: runs %s %s %s %q", process.id, id, request.Method, request.RequestURI, body)
	if key >= 0 {
		process.upstream.ledger.begin(time.Now(), process.id, key)
		defer process.upstream.ledger.finish(process.id, key)
	}
	if process.upstream.onRun != nil && process.upstream.onRun(process, request) {
		process.upstream.crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-request.Context().Done():
		panic(http.ErrAbortHandler)
	case <-process.ctx.Done():
		panic(http.ErrAbortHandler)
	case <-time.After(process.upstream.workTime):
	}
	writer.Header().Set("X-Server-Signature", process.id+"."+id)
	writer.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", len(process.slots), slotCount))
	// On failure the daemon has disconnected.
	_, _ = fmt.Fprintf(writer, "%s ran %s", process.id, id)
}

// admit returns the key of a request, -1 for none, or the status with which it is refused.
func (process *process) admit(request *http.Request) (key, status int) {
	if request.Header.Get("X-Target-Instance") != process.id {
		return -1, http.StatusMisdirectedRequest
	}
	if request.Header.Get("X-Request-Id") == "" {
		return -1, http.StatusBadRequest
	}
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.waiting >= slotCount+queueCount {
		return -1, http.StatusServiceUnavailable
	}
	key = -1
	if process.upstream.sharded {
		parsed, err := strconv.Atoi(request.Header.Get("X-Shard-Key"))
		if err != nil || !process.holds(parsed) {
			return -1, http.StatusMisdirectedRequest
		}
		key = parsed
		process.running[key]++
	}
	process.waiting++
	return key, 0
}

func (process *process) leave(key int) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.waiting--
	if key < 0 {
		return
	}
	if process.running[key]--; process.running[key] == 0 {
		delete(process.running, key)
	}
}

func (process *process) holds(key int) bool {
	for _, grant := range process.grants {
		if grant.first <= key && key <= grant.last && time.Now().Before(grant.until) {
			return true
		}
	}
	return false
}

// beat sends heartbeats until the process ends.
func (process *process) beat() {
	for process.ctx.Err() == nil && !process.hasLeft() {
		if err := process.sendBeat(); err != nil && process.ctx.Err() == nil {
			process.upstream.recorder.log("upstream %s: heartbeat failed: %v", process.id, err)
		}
		interval := beatInterval
		process.mutex.Lock()
		if len(process.closing) > 0 || len(process.released) > 0 {
			interval = releaseInterval
		}
		process.mutex.Unlock()
		select {
		case <-process.ctx.Done():
		case <-time.After(interval):
		}
	}
}

func (process *process) hasLeft() bool {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.isLeaving
}

// sendLateBeat sends a heartbeat that arrives after the given delay.
func (process *process) sendLateBeat(delay time.Duration) error {
	text, _, err := process.beatBody()
	if err != nil {
		return err
	}
	process.upstream.recorder.note("upstream %s: sends a heartbeat, which is delayed for %v: %s", process.id, delay, text)
	time.AfterFunc(delay, func() {
		response, err := http.Post("http://"+process.upstream.control+"/rpc?call=instances.heartbeat&of="+process.id, "application/json", bytes.NewReader(text))
		if err != nil {
			process.upstream.recorder.note("upstream %s: the delayed heartbeat fails: %v", process.id, err)
			return
		}
		response.Body.Close()
		process.upstream.recorder.note("upstream %s: the delayed heartbeat arrives; status %d", process.id, response.StatusCode)
	})
	return nil
}

// deregister sends no more heartbeats and says that the process leaves.
func (process *process) deregister() error {
	process.mutex.Lock()
	process.isLeaving = true
	process.mutex.Unlock()
	response, err := http.Post("http://"+process.upstream.control+"/rpc?call=instances.deregister&of="+process.id, "application/json", nil)
	if err != nil {
		return err
	}
	response.Body.Close()
	process.upstream.recorder.note("upstream %s: its leaving is acknowledged with status %d", process.id, response.StatusCode)
	return nil
}

func (process *process) sendBeat() error {
	ctx, cancel := context.WithTimeout(process.ctx, beatTimeout)
	defer cancel()
	sent := time.Now()
	text, releasedCount, err := process.beatBody()
	if err != nil {
		return err
	}
	target := "http://" + process.upstream.control + "/rpc?call=instances.heartbeat&of=" + process.id
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(text))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	ack, err := io.ReadAll(io.LimitReader(response.Body, maxAckBytes+1))
	if err != nil || len(ack) > maxAckBytes || response.StatusCode != http.StatusOK {
		return fmt.Errorf("no acknowledgement: status %d, %d bytes, %w", response.StatusCode, len(ack), err)
	}
	var answer struct {
		Holds *[][4]any `json:"holds"`
		HoldS float64   `json:"holdS"`
	}
	if err := json.Unmarshal(ack, &answer); err != nil {
		return err
	}
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.released = process.released[releasedCount:]
	if answer.Holds != nil && process.ctx.Err() == nil {
		process.apply(sent, *answer.Holds, answer.HoldS)
	}
	return nil
}

// beatBody returns the body of a heartbeat and the number of released ranges in it.
func (process *process) beatBody() ([]byte, int, error) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.expire()
	process.sequence++
	held := [][3]int64{}
	for _, grant := range append(append([]grant{}, process.grants...), process.closing...) {
		held = append(held, [3]int64{int64(grant.first), int64(grant.last), grant.fence})
	}
	released := append([][3]any{}, process.released...)
	text, err := json.Marshal(map[string]any{
		"address": process.upstream.address, "born": process.born,
		"info":   map[string]any{"service": process.upstream.service, "version": "v1", "zone": process.upstream.zone, "slots": slotCount},
		"status": map[string]any{"state": "ready", "sequence": process.sequence, "coldRemainingS": 0},
		"holds":  held, "released": released,
	})
	return text, len(released), err
}

// expire drops grants that have expired, and releases closing ranges on which nothing runs any more; the mutex must be locked.
func (process *process) expire() {
	now := time.Now()
	var grants, closing []grant
	for _, grant := range process.grants {
		if now.Before(grant.until) {
			grants = append(grants, grant)
		}
	}
	for _, grant := range process.closing {
		if process.runsWithin(grant) {
			closing = append(closing, grant)
			continue
		}
		process.released = append(process.released, [3]any{grant.first, grant.last, randomHex(8)})
	}
	process.grants, process.closing = grants, closing
}

func (process *process) runsWithin(grant grant) bool {
	for key := range process.running {
		if grant.first <= key && key <= grant.last {
			return true
		}
	}
	return false
}

// apply replaces the grants by those of an acknowledgement; the mutex must be locked.
func (process *process) apply(sent time.Time, rows [][4]any, holdS float64) {
	until := sent.Add(time.Duration(holdS * float64(time.Second)))
	now, ledger := time.Now(), process.upstream.ledger
	var grants []grant
	isGranted := make([]bool, keyCount/blockKeys)
	for _, row := range rows {
		first, okFirst := row[0].(float64)
		last, okLast := row[1].(float64)
		fence, okFence := row[2].(float64)
		if !okFirst || !okLast || !okFence || process.highestFence(int(first), int(last)) > int64(fence) {
			process.upstream.recorder.log("upstream %s: does not accept %v", process.id, row)
			continue
		}
		accepted := grant{first: int(first), last: int(last), fence: int64(fence), until: until}
		grants = append(grants, accepted)
		for block := accepted.first / blockKeys; block <= accepted.last/blockKeys; block++ {
			isGranted[block], process.fences[block] = true, accepted.fence
		}
		ledger.hold(now, process.id, accepted.first, accepted.last, accepted.fence, until)
	}
	for _, old := range process.grants {
		for block := old.first / blockKeys; block <= old.last/blockKeys; block++ {
			if !isGranted[block] {
				first := block * blockKeys
				process.closing = append(process.closing, grant{first: first, last: first + blockKeys - 1, fence: old.fence})
				ledger.release(now, process.id, first, first+blockKeys-1)
			}
		}
	}
	if len(grants) != len(process.grants) {
		process.upstream.recorder.log("upstream %s: holds %d ranges for %.2f s: %v", process.id, len(grants), holdS, rows)
	}
	process.closing = merge(process.closing)
	process.grants = grants
}

// merge joins adjacent ranges.
func merge(grants []grant) []grant {
	var merged []grant
	for _, next := range grants {
		if count := len(merged); count > 0 && merged[count-1].last+1 == next.first {
			merged[count-1].last = next.last
			continue
		}
		merged = append(merged, next)
	}
	return merged
}

func (process *process) highestFence(first, last int) int64 {
	highest := int64(0)
	for block := first / blockKeys; block <= last/blockKeys; block++ {
		highest = max(highest, process.fences[block])
	}
	return highest
}
