package prober

import (
	"context"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// interval is the time between two probes.
	interval = 500 * time.Millisecond
	// timeout is when a probe counts as failed; a plain one takes about 6 ms.
	timeout = 300 * time.Millisecond
	// failuresToGone is how many probes in a row fail before the backend server is taken for gone.
	failuresToGone = 2
)

// Config holds what a Prober works with.
type Config struct {
	// Upstream is the backend server to watch.
	Upstream lagoonlanding.Upstream
	// Clock tells the time.
	Clock lagoonlanding.Clock
	// Gone is called when the backend server no longer answers.
	Gone func()
	// Back is called when a backend server that was gone, or not ready, takes work again.
	Back func()
}

// Prober watches one backend server.
type Prober struct {
	config   Config
	failures int
	gone     bool
}

// New returns a prober for a backend server that has just announced itself.
func New(config Config) *Prober { return &Prober{config: config} }

// Run probes until ctx ends.
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

// Probe asks the backend server once.
//
// Only a missing answer or a stated drain counts: the load that a report tells lags and may mislead.
func (prober *Prober) Probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	report, err := prober.config.Upstream.Report(ctx)
	if err == nil && report.IsReady() {
		prober.answered()
		return
	}
	prober.failures++
	if prober.failures >= failuresToGone && !prober.gone {
		prober.gone = true
		prober.config.Gone()
	}
}

func (prober *Prober) answered() {
	prober.failures = 0
	if prober.gone {
		prober.gone = false
		prober.config.Back()
	}
}
