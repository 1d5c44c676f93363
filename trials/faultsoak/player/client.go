package player

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding/platform/simulator"
)

const (
	// clientDeadline is how long a client waits for an answer.
	clientDeadline = 2 * time.Second
	// clientPause is the time between two requests of one client.
	clientPause = 20 * time.Millisecond
	// keys is the number of shard keys.
	keys = 65536
)

// kind is a kind of request.
type kind struct {
	method, path, service string
	idempotent            bool
}

var kinds = []kind{
	{method: http.MethodGet, path: "/read/", service: servicePlain, idempotent: true},
	{method: http.MethodPost, path: "/write/", service: servicePlain},
	{method: http.MethodGet, path: "/get/", service: serviceDivided, idempotent: true},
	{method: http.MethodPost, path: "/put/", service: serviceDivided},
}

// tally counts the answers by status; zero stands for none.
type tally struct {
	mutex    sync.Mutex
	statuses map[int]int
}

func (tally *tally) note(status int) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	tally.statuses[status]++
}

// client sends one request after the other and keeps its connections.
type client struct {
	name   string
	fleet  *fleet
	random *rand.Rand
	http   *http.Client
	tally  *tally
	count  int
}

func newClient(name string, fleet *fleet, random *rand.Rand, tally *tally) *client {
	return &client{name: name, fleet: fleet, random: random, tally: tally, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

// run sends requests until ctx ends.
func (client *client) run(ctx context.Context) {
	defer client.http.CloseIdleConnections()
	for ctx.Err() == nil {
		member := client.fleet.members[client.random.IntN(len(client.fleet.members))]
		client.tally.note(client.send(ctx, member, kinds[client.random.IntN(len(kinds))], client.random.IntN(keys)))
		select {
		case <-ctx.Done():
		case <-time.After(clientPause):
		}
	}
}

// send sends one request to a daemon, checks what comes back, and returns the status, zero for no answer.
func (client *client) send(ctx context.Context, member *member, kind kind, key int) int {
	client.count++
	id := fmt.Sprintf("%s-%d", client.name, client.count)
	target, body := kind.path+id+"?q=%2F", "body of "+id
	sent := simulator.Sent{Method: kind.method, Target: target, Caller: member.service, Service: kind.service, Idempotent: kind.idempotent}
	client.fleet.judge.Send(id, sent)
	ctx, cancel := context.WithTimeout(ctx, clientDeadline+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, kind.method, "http://"+member.front+target, strings.NewReader(body))
	if err != nil {
		client.fleet.judge.Report("REQUEST: %v", err)
		return 0
	}
	request.Host = "h"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	if kind.service == serviceDivided {
		request.Header.Set("X-Shard-Key", strconv.Itoa(key))
	}
	response, err := client.http.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	client.judge(id, response, string(text), fmt.Sprintf("%s %s for %s: %s", kind.method, target, member.service, body))
	return response.StatusCode
}

// judge checks an answer.
func (client *client) judge(id string, response *http.Response, text, want string) {
	switch response.StatusCode {
	case http.StatusOK:
		if text != want || response.Header.Get("X-Request-Id") != id || response.Header.Get("X-Server-Signature") == "" {
			client.fleet.judge.Report("MIXED: %s got %.80q, %v", id, text, response.Header)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		client.fleet.judge.Refuse(id, response.Status)
	}
}
