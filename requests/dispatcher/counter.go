package dispatcher

import (
	"context"
	"fmt"
	"sync"

	"lagoonlanding.example/lagoonlanding"
)

// counter counts the requests in flight per shard.
type counter struct {
	mutex  sync.Mutex
	counts map[lagoonlanding.ShardID]int
	idle   map[lagoonlanding.ShardID]chan struct{}
}

func newCounter() *counter {
	return &counter{
		counts: make(map[lagoonlanding.ShardID]int),
		idle:   make(map[lagoonlanding.ShardID]chan struct{}),
	}
}

func (counter *counter) increment(shard lagoonlanding.ShardID) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.counts[shard]++
}

func (counter *counter) decrement(shard lagoonlanding.ShardID) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.counts[shard]--
	if counter.counts[shard] < 0 {
		panic(fmt.Sprintf("dispatcher: the count of requests in flight for shard %s is negative", shard))
	}
	if counter.counts[shard] > 0 {
		return
	}
	delete(counter.counts, shard)
	if idle, ok := counter.idle[shard]; ok {
		close(idle)
		delete(counter.idle, shard)
	}
}

// awaitIdle waits until the shard has no request in flight.
func (counter *counter) awaitIdle(ctx context.Context, shard lagoonlanding.ShardID) error {
	counter.mutex.Lock()
	if counter.counts[shard] == 0 {
		counter.mutex.Unlock()
		return nil
	}
	idle, ok := counter.idle[shard]
	if !ok {
		idle = make(chan struct{})
		counter.idle[shard] = idle
	}
	counter.mutex.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-idle:
		return nil
	}
}
