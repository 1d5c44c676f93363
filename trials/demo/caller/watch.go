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
type Prober struct {
	client   *Client
	instance deployer.Instance
	service  deployer.Service
	tenant   deployer.Tenant
	key      string
	mutex    sync.Mutex
	last     time.Time
	gap      time.Duration
	owner    string
	probes   sync.WaitGroup
}

// NewWatch returns a watch of the key through the daemon at the place.
func NewProber(client *Client, instance deployer.Instance, service deployer.Service, tenant deployer.Tenant, key string) *Prober {
	return &Prober{client: client, instance: instance, service: service, tenant: tenant, key: key}
}

// Run asks until ctx ends; a probe that waits doesn't hold the next one up.
func (prober *Prober) Run(ctx context.Context) {
	prober.mutex.Lock()
	prober.last = time.Now()
	prober.mutex.Unlock()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			prober.probes.Wait()
			return
		case <-ticker.C:
			prober.probes.Go(func() { prober.probe(ctx) })
		}
	}
}

func (prober *Prober) probe(ctx context.Context) {
	owner, ok := prober.client.Read(ctx, prober.instance, prober.service, prober.tenant, prober.key, probeDeadline)
	if !ok {
		return
	}
	prober.mutex.Lock()
	defer prober.mutex.Unlock()
	now := time.Now()
	prober.gap = max(prober.gap, now.Sub(prober.last))
	prober.last = now
	prober.owner = owner
}

// Unavailable returns the longest time between two answers, the time since the last one included.
func (prober *Prober) Unavailable() time.Duration {
	prober.mutex.Lock()
	defer prober.mutex.Unlock()
	return max(prober.gap, time.Since(prober.last))
}

// Owner returns the daemon that owned the key at the last answer.
func (prober *Prober) Owner() string {
	prober.mutex.Lock()
	defer prober.mutex.Unlock()
	return prober.owner
}
