package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// contactTime is the bound contactS.
	contactTime = 3 * time.Second
	// maxRetries is the number of retries that may still reach upstreams.
	maxRetries = 3
	// crashDownTime is how long an upstream is down after a crash.
	crashDownTime = 2 * time.Second
	// poisonInterval is the time between two requests that crash upstreams.
	poisonInterval = 2800 * time.Millisecond
	poisonPath     = "/crash/1"
)

// crashes counts the runs of a request that crashes the upstreams.
type crashes struct {
	mutex sync.Mutex
	times []time.Time
}

func (crashes *crashes) add() {
	crashes.mutex.Lock()
	defer crashes.mutex.Unlock()
	crashes.times = append(crashes.times, time.Now())
}

func (crashes *crashes) count() int {
	crashes.mutex.Lock()
	defer crashes.mutex.Unlock()
	return len(crashes.times)
}

// retries returns how many runs began later than contactTime after the third.
func (crashes *crashes) retries() int {
	crashes.mutex.Lock()
	defer crashes.mutex.Unlock()
	count := 0
	for index, at := range crashes.times {
		if index >= 3 && at.After(crashes.times[2].Add(contactTime)) {
			count++
		}
	}
	return count
}

// playRolledQuarantine sends a request that crashes upstreams until it is refused, and again after each of two rolling restarts of the daemons;
// with no trouble the daemons are not restarted.
func playRolledQuarantine(fleet *fleet, hasTrouble bool) error {
	crashes := &crashes{}
	for number := range 3 {
		added := fleet.add([]string{"piraeus", "piraeus", "marousi"}[number], "ledger", false)
		added.upstream.onRun = func(_ *process, request *http.Request) bool {
			if request.URL.Path != poisonPath {
				return false
			}
			crashes.add()
			time.AfterFunc(crashDownTime, func() {
				if err := added.upstream.start(); err != nil {
					fleet.recorder.note("upstream at %s: %v", added.name, err)
				}
			})
			return true
		}
	}
	fleet.store.put("op/config", plainConfig)
	if err := fleet.start(); err != nil {
		return err
	}
	if err := fleet.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(contactTime + time.Second)
	fleet.sendPoison(4)
	if crashes.count() < 3 {
		return errNotReady
	}
	time.Sleep(contactTime)
	for range 2 {
		for _, machine := range fleet.machines {
			if !hasTrouble {
				continue
			}
			if err := fleet.restart(machine, syscall.SIGTERM); err != nil {
				return err
			}
			time.Sleep(time.Second)
		}
		if err := fleet.awaitReady(10 * time.Second); err != nil {
			return err
		}
		time.Sleep(contactTime + time.Second)
		fleet.sendPoison(5)
	}
	fleet.recorder.note("the request ran %d times, %d of these later than %v after the third crash", crashes.count(), crashes.retries(), contactTime)
	if retries := crashes.retries(); retries > maxRetries {
		fleet.recorder.breaks("BUDGET: a request that crashes upstreams reached them in %d retries", retries)
	}
	return nil
}

// sendPoison sends the request that crashes upstreams from the machine that restarts last.
func (fleet *fleet) sendPoison(count int) {
	machine := fleet.machines[len(fleet.machines)-1]
	for range count {
		got := fleet.send(machine, requestConfig{method: http.MethodGet, host: "plain.example", path: poisonPath, key: -1, deadline: 4 * time.Second})
		fleet.recorder.note("client at %s: the request that crashes upstreams is answered with %d", machine.name, got.status)
		time.Sleep(poisonInterval)
	}
}
