package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// requestConfig describes a client's request.
type requestConfig struct {
	method, host, path string
	// key is the shard key, -1 for none.
	key      int
	deadline time.Duration
}

// answer is what a client got.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request to the daemon of the client's machine and records the answer.
func (fleet *fleet) send(machine *machine, config requestConfig) answer {
	ctx, cancel := context.WithTimeout(context.Background(), config.deadline)
	defer cancel()
	result := answer{id: randomHex(8)}
	request, err := http.NewRequestWithContext(ctx, config.method, "http://"+machine.at(outboundPort)+config.path, nil)
	if err != nil {
		result.err = err
		return result
	}
	request.Host = config.host
	request.Header.Set("X-Request-Id", result.id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(config.deadline.Milliseconds()))
	if config.key >= 0 {
		request.Header.Set("X-Shard-Key", fmt.Sprint(config.key))
	}
	fleet.recorder.log("client at %s: sends %s %s %s key %d", machine.name, result.id, config.method, config.path, config.key)
	response, err := machine.client.Do(request)
	if err == nil {
		defer response.Body.Close()
		var body []byte
		body, err = io.ReadAll(response.Body)
		result.status, result.header, result.body = response.StatusCode, response.Header, string(body)
	}
	result.err = err
	fleet.recorder.log("client at %s: %s is answered with %d %v", machine.name, result.id, result.status, err)
	return result
}

const (
	// busyKeys is the number of busy keys, which are close to one another, and busyShare the share of the requests that are for them.
	busyKeys     = 48
	busyShare    = 0.5
	busyDistance = 300
	// things is the number of things that requests are about.
	things = 60000
)

// randomKey returns a busy key or any.
func randomKey() int {
	if rand.Float64() < busyShare {
		return 20000 + rand.IntN(busyKeys)*busyDistance
	}
	return rand.IntN(keyCount)
}

// sendKeyed sends requests with random keys from each machine until ctx ends.
func (fleet *fleet) sendKeyed(ctx context.Context, perSecond float64) {
	for _, machine := range fleet.machines {
		fleet.requests.Go(func() {
			for ctx.Err() == nil {
				fleet.requests.Go(func() {
					path := fmt.Sprintf("/keys/%d", rand.IntN(things))
					fleet.send(machine, requestConfig{method: http.MethodGet, host: "keys.example", path: path, key: randomKey(), deadline: time.Second})
				})
				time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
			}
		})
	}
}
