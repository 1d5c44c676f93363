package main

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// beatDelay is by how much a heartbeat is late.
	beatDelay = 4 * time.Second
	// drainTime is the bound drainS.
	drainTime = 2 * time.Second
	// servingTime is how long the upstream goes on serving after its leaving was acknowledged.
	servingTime = 14 * time.Second
	// longWorkTime is the work time of a request, with which both upstreams are needed.
	longWorkTime = 250 * time.Millisecond
)

// playForgottenLeaving lets an upstream leave without saying before that it drains; one of its last heartbeats arrives late. The daemon beside it
// is killed after it has acknowledged the leaving, and starts again; with no trouble it goes on.
func playForgottenLeaving(fleet *fleet, hasTrouble bool) error {
	var mutex sync.Mutex
	var runs []time.Time
	fleet.add("piraeus", "front", false)
	left := fleet.add("piraeus", "ledger", false)
	other := fleet.add("piraeus", "ledger", false)
	left.upstream.workTime, other.upstream.workTime = longWorkTime, longWorkTime
	left.upstream.onRun = func(*process, *http.Request) bool {
		mutex.Lock()
		defer mutex.Unlock()
		runs = append(runs, time.Now())
		return false
	}
	fleet.store.put("op/config", plainConfig)
	if err := fleet.start(); err != nil {
		return err
	}
	if err := fleet.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(contactTime + time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fleet.sendPlain(ctx, fleet.machines[0], 30)
	time.Sleep(2 * time.Second)
	leaving := left.upstream.current
	if err := leaving.sendLateBeat(beatDelay); err != nil {
		return err
	}
	time.Sleep(beatTimeout)
	if err := leaving.deregister(); err != nil {
		return err
	}
	acknowledged, inTouch := time.Now(), time.Time{}
	if hasTrouble {
		time.Sleep(200 * time.Millisecond)
		if err := fleet.restart(left, syscall.SIGKILL); err != nil {
			return err
		}
		inTouch = time.Now().Add(contactTime)
	}
	time.Sleep(time.Until(acknowledged.Add(servingTime)))
	left.upstream.crash()
	cancel()
	fleet.requests.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	late, before := 0, 0
	var first, last time.Time
	for _, at := range runs {
		switch {
		case at.Before(acknowledged):
			before++
		case at.After(acknowledged.Add(drainTime)) && at.After(inTouch):
			if late++; late == 1 {
				first = at
			}
			last = at
		}
	}
	fleet.recorder.note("the upstream ran %d requests before its leaving was acknowledged, %d too late", before, late)
	if before == 0 {
		return errNotReady
	}
	if late > 0 {
		fleet.recorder.breaks("DRAIN: %d requests reached an upstream %.1f s to %.1f s after the acknowledgement that it leaves",
			late, first.Sub(acknowledged).Seconds(), last.Sub(acknowledged).Seconds())
	}
	return nil
}

// sendPlain sends requests without keys from one machine until ctx ends.
func (fleet *fleet) sendPlain(ctx context.Context, machine *machine, perSecond int) {
	fleet.requests.Go(func() {
		for ctx.Err() == nil {
			fleet.requests.Go(func() {
				fleet.send(machine, requestConfig{method: http.MethodPost, host: "plain.example", path: "/writes/1", key: -1, deadline: 5 * time.Second})
			})
			time.Sleep(time.Second / time.Duration(perSecond))
		}
	})
}
