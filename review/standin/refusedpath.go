package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const tagsConfig = `{"version":7,"routes":{
 "tags":{"host":"plain.example","prefix":"/tags/","routeType":"non_idempotent","timeoutS":2.5,"targetLatencyS":0.8,"priority":1,"service":"ledger","attempts":2,"allowedRegions":[]}},
 "services":{"ledger":{"healthCheckPath":"/health","maxConnections":110,"coldStartS":3.0,"coldPerS":3.9}},
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15}}`

const (
	// ledgerCount is the number of upstreams, of which one crashes at a time.
	ledgerCount = 10
	// crashSpacing is the time from one crash to the next.
	crashSpacing = 8 * time.Second
	// crashDownTime is how long an upstream is down after a crash.
	crashDownTime = 2 * time.Second
	// closingDownTime is for how long all daemons are down at the end.
	closingDownTime = 1300 * time.Millisecond
	// recoveryTime is the bound recoveryS.
	recoveryTime = 15 * time.Second
	// minServedShare is the share of the requests that must be served after the recovery.
	minServedShare = 0.25
	// tagRate is the number of requests per second.
	tagRate = 12
)

// tagCounts counts requests and those that were served.
type tagCounts struct {
	sent, served atomic.Int64
}

func (tagcounts *tagCounts) share() float64 {
	return float64(tagcounts.served.Load()) / float64(max(tagcounts.sent.Load(), 1))
}

// crasher crashes the upstream that begins the next request.
type crasher struct {
	mutex   sync.Mutex
	isArmed bool
}

func (crasher *crasher) arm() {
	crasher.mutex.Lock()
	defer crasher.mutex.Unlock()
	crasher.isArmed = true
}

// fires reports whether a request that has begun loses its upstream.
func (crasher *crasher) fires() bool {
	crasher.mutex.Lock()
	defer crasher.mutex.Unlock()
	wasArmed := crasher.isArmed
	crasher.isArmed = false
	return wasArmed
}

// playRefusedPath sends requests with one path, as clients do that issue something. Three times an upstream crashes, twice before and once after a
// configuration was written and all daemons were killed at the same time; with no trouble no upstream crashes.
func playRefusedPath(fleet *fleet, hasTrouble bool) error {
	crasher := &crasher{}
	for number := range ledgerCount {
		added := fleet.add([]string{"piraeus", "marousi"}[number%2], "ledger", false)
		added.upstream.onRun = func(*process, *http.Request) bool {
			if !crasher.fires() {
				return false
			}
			time.AfterFunc(crashDownTime, func() {
				if err := added.upstream.start(); err != nil {
					fleet.recorder.note("upstream at %s: %v", added.name, err)
				}
			})
			return true
		}
	}
	fleet.store.put("op/config", tagsConfig)
	if err := fleet.start(); err != nil {
		return err
	}
	if err := fleet.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(contactTime + time.Second)
	crash := func() {
		if hasTrouble {
			crasher.arm()
		}
	}
	before, after := &tagCounts{}, &tagCounts{}
	endBefore := fleet.sendTags(before)
	time.Sleep(crashSpacing)
	crash()
	time.Sleep(crashSpacing)
	crash()
	time.Sleep(crashSpacing)
	endBefore()
	fleet.store.put("op/config", strings.Replace(tagsConfig, `"version":7`, `"version":8`, 1))
	if err := fleet.killAll(); err != nil {
		return err
	}
	if err := fleet.awaitReady(10 * time.Second); err != nil {
		return err
	}
	back := time.Now()
	endBetween := fleet.sendTags(&tagCounts{})
	time.Sleep(contactTime + time.Second)
	crash()
	time.Sleep(time.Until(back.Add(recoveryTime)))
	endBetween()
	endAfter := fleet.sendTags(after)
	time.Sleep(recoveryTime)
	endAfter()
	fleet.recorder.note("served before the final fault: %.3f of %d requests; later than %v after the daemons were back: %.3f of %d",
		before.share(), before.sent.Load(), recoveryTime, after.share(), after.sent.Load())
	if before.share() < minServedShare {
		return errNotReady
	}
	if after.share() < minServedShare {
		fleet.recorder.breaks("RECOVER: %.3f of the requests are served after the recovery, %.3f were before the final fault", after.share(), before.share())
	}
	return nil
}

// killAll kills all daemons at the same moment and starts them again.
func (fleet *fleet) killAll() error {
	for _, machine := range fleet.machines {
		fleet.signal(machine, syscall.SIGKILL)
	}
	for _, machine := range fleet.machines {
		machine.mutex.Lock()
		exited := machine.exited
		machine.mutex.Unlock()
		<-exited
	}
	time.Sleep(closingDownTime)
	for _, machine := range fleet.machines {
		if err := fleet.startDaemon(machine, false); err != nil {
			return err
		}
	}
	return nil
}

// sendTags sends requests with one path from all machines and counts them, until the function that it returns is called.
func (fleet *fleet) sendTags(tagcounts *tagCounts) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var senders sync.WaitGroup
	senders.Go(func() {
		for number := 0; ctx.Err() == nil; number++ {
			machine := fleet.machines[number%len(fleet.machines)]
			senders.Go(func() {
				tagcounts.sent.Add(1)
				got := fleet.send(machine, requestConfig{method: http.MethodPost, host: "plain.example", path: "/tags/issue", key: -1, deadline: 5 * time.Second})
				if got.err == nil && got.status == http.StatusOK {
					tagcounts.served.Add(1)
				}
			})
			time.Sleep(time.Second / tagRate)
		}
	})
	return func() {
		cancel()
		senders.Wait()
	}
}
