package runner

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
	// clientDeadline is the deadline that a client sends with its requests.
	clientDeadline = 2 * time.Second
	// clientInterval is the pause between two requests of one client.
	clientInterval = 20 * time.Millisecond
	// keyCount is the number of shard keys.
	keyCount = 65536
)

// requestKind is a method, route and service of requests.
type requestKind struct {
	method, path, service string
	idempotent            bool
}

var requestKinds = []requestKind{
	{method: http.MethodGet, path: "/read/", service: plainService, idempotent: true},
	{method: http.MethodPost, path: "/write/", service: plainService},
	{method: http.MethodGet, path: "/get/", service: shardedService, idempotent: true},
	{method: http.MethodPost, path: "/put/", service: shardedService},
}

// tally counts responses by status; zero means no response.
type tally struct {
	mutex    sync.Mutex
	statuses map[int]int
}

func (tally *tally) record(status int) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	tally.statuses[status]++
}

// client sends requests one after the other over persistent connections.
type client struct {
	name      string
	fleet     *fleet
	random    *rand.Rand
	http      *http.Client
	tally     *tally
	sentCount int
}

func newClient(name string, fleet *fleet, random *rand.Rand, tally *tally) *client {
	return &client{name: name, fleet: fleet, random: random, tally: tally, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

// run sends requests until ctx is done.
func (client *client) run(ctx context.Context) {
	defer client.http.CloseIdleConnections()
	for ctx.Err() == nil {
		member := client.fleet.members[client.random.IntN(len(client.fleet.members))]
		client.tally.record(client.send(ctx, member, requestKinds[client.random.IntN(len(requestKinds))], client.random.IntN(keyCount)))
		select {
		case <-ctx.Done():
		case <-time.After(clientInterval):
		}
	}
}

// send sends one request to a daemon, checks the response, and returns its status, zero for no response.
func (client *client) send(ctx context.Context, member *member, kind requestKind, key int) int {
	client.sentCount++
	id := fmt.Sprintf("%s-%d", client.name, client.sentCount)
	target, body := kind.path+id+"?q=%2F", "body of "+id
	sent := simulator.SentRequest{Method: kind.method, Target: target, Caller: member.service, Service: kind.service, Idempotent: kind.idempotent}
	client.fleet.checker.RecordRequest(id, sent)
	ctx, cancel := context.WithTimeout(ctx, clientDeadline+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, kind.method, "http://"+member.appAddress+target, strings.NewReader(body))
	if err != nil {
		client.fleet.checker.Report("REQUEST: %v", err)
		return 0
	}
	request.Host = "h"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	if kind.service == shardedService {
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
	client.checkResponse(id, response, string(text), fmt.Sprintf("%s %s for %s: %s", kind.method, target, member.service, body))
	return response.StatusCode
}

// checkResponse reports a response that is not the answer to this request, and records refusals.
func (client *client) checkResponse(id string, response *http.Response, text, want string) {
	switch response.StatusCode {
	case http.StatusOK:
		if text != want || response.Header.Get("X-Request-Id") != id || response.Header.Get("X-Server-Signature") == "" {
			client.fleet.checker.Report("MIXED: %s got %.80q, %v", id, text, response.Header)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		client.fleet.checker.RecordRefusal(id, response.Status)
	}
}
