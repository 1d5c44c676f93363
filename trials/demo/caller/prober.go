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

// Prober periodically reads one key and measures how long it is unavailable.
type Prober struct {
	client       *Client
	instance     deployer.Instance
	service      deployer.Service
	tenant       deployer.Tenant
	key          string
	mutex        sync.Mutex
	lastAnswered time.Time
	longestGap   time.Duration
	owner        string
	probes       sync.WaitGroup
}

// NewProber returns a prober that reads the key through the daemon of the instance.
func NewProber(client *Client, instance deployer.Instance, service deployer.Service, tenant deployer.Tenant, key string) *Prober {
	return &Prober{client: client, instance: instance, service: service, tenant: tenant, key: key}
}

// Run sends probes until ctx is done; a pending probe does not delay the next one.
func (prober *Prober) Run(ctx context.Context) {
	prober.mutex.Lock()
	prober.lastAnswered = time.Now()
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
	prober.longestGap = max(prober.longestGap, now.Sub(prober.lastAnswered))
	prober.lastAnswered = now
	prober.owner = owner
}

// Unavailable returns the longest time between two answers, including the time since the last answer.
func (prober *Prober) Unavailable() time.Duration {
	prober.mutex.Lock()
	defer prober.mutex.Unlock()
	return max(prober.longestGap, time.Since(prober.lastAnswered))
}

// Owner returns the name of the daemon that owned the key at the last answer.
func (prober *Prober) Owner() string {
	prober.mutex.Lock()
	defer prober.mutex.Unlock()
	return prober.owner
}
