package caller

import (
	"context"
	"sync"
	"time"

	"lagoonlanding.example/demo/deployer"
)

const (
	probeInterval = 20 * time.Millisecond
	probeDeadline = 400 * time.Millisecond
)

// Watch asks for one key again and again and notes when it is answered.
type Watch struct {
	client  *Client
	place   deployer.Place
	service deployer.Service
	tenant  deployer.Tenant
	key     string
	mutex   sync.Mutex
	last    time.Time
	gap     time.Duration
	owner   string
	probes  sync.WaitGroup
}

// NewWatch returns a watch of the key through the daemon at the place.
func NewWatch(client *Client, place deployer.Place, service deployer.Service, tenant deployer.Tenant, key string) *Watch {
	return &Watch{client: client, place: place, service: service, tenant: tenant, key: key}
}

// Run asks until ctx ends; a probe that waits doesn't hold the next one up.
func (watch *Watch) Run(ctx context.Context) {
	watch.mutex.Lock()
	watch.last = time.Now()
	watch.mutex.Unlock()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			watch.probes.Wait()
			return
		case <-ticker.C:
			watch.probes.Go(func() { watch.probe(ctx) })
		}
	}
}

func (watch *Watch) probe(ctx context.Context) {
	owner, ok := watch.client.Read(ctx, watch.place, watch.service, watch.tenant, watch.key, probeDeadline)
	if !ok {
		return
	}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	now := time.Now()
	watch.gap = max(watch.gap, now.Sub(watch.last))
	watch.last = now
	watch.owner = owner
}

// Unavailable returns the longest time between two answers, the time since the last one included.
func (watch *Watch) Unavailable() time.Duration {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	return max(watch.gap, time.Since(watch.last))
}

// Owner returns the daemon that owned the key at the last answer.
func (watch *Watch) Owner() string {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	return watch.owner
}
