package prober

import (
	"context"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// interval is the time between two health checks.
	interval = 500 * time.Millisecond
	// timeout is how long a health check may take; a successful one takes about 6 ms.
	timeout = 300 * time.Millisecond
	// failureThreshold is how many consecutive health checks must fail before the backend server is considered down.
	failureThreshold = 2
)

// Config holds the dependencies of a Prober.
type Config struct {
	// Upstream is the backend server to check.
	Upstream lagoonlanding.Upstream
	// Clock provides the current time and timers.
	Clock lagoonlanding.Clock
	// OnDown is called when the backend server no longer answers or is not ready.
	OnDown func()
	// OnUp is called when a backend server that was down is ready again.
	OnUp func()
}

// Prober checks the health of one backend server.
type Prober struct {
	config   Config
	failures int
	isDown   bool
}

// New returns a prober for a backend server that is initially considered up.
func New(config Config) *Prober { return &Prober{config: config} }

// Run checks the backend server at each interval until ctx ends.
func (prober *Prober) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-prober.config.Clock.Until(prober.config.Clock.Now().Add(interval)):
		}
		prober.Probe(ctx)
	}
}

// Probe performs one health check.
//
// It uses only whether the backend server answers and is ready: the reported load may be outdated and thus misleading.
func (prober *Prober) Probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	report, err := prober.config.Upstream.Report(ctx)
	if err == nil && report.IsReady() {
		prober.recordSuccess()
		return
	}
	prober.failures++
	if prober.failures >= failureThreshold && !prober.isDown {
		prober.isDown = true
		prober.config.OnDown()
	}
}

func (prober *Prober) recordSuccess() {
	prober.failures = 0
	if prober.isDown {
		prober.isDown = false
		prober.config.OnUp()
	}
}
