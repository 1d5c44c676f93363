package main

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestLimitThatABackendServerNamesIsKeptByAllDaemonsTogether sends from every daemon of the fleet what the limit allows for all of them.
func TestLimitThatABackendServerNamesIsKeptByAllDaemonsTogether(t *testing.T) {
	const limit, window = 4.0, 4 * time.Second
	_, fleet := startFleet(t)
	limited := fleet["plain-1"].backend
	fleet["plain-2"].backend.SetRunTime(50 * time.Millisecond)
	limited.SetRunTime(50 * time.Millisecond)
	limited.SetLimit(limit)
	var clients sync.WaitGroup
	for name, daemon := range fleet {
		clients.Go(func() {
			for number, end := 0, time.Now().Add(8*time.Second); time.Now().Before(end); number++ {
				clients.Go(func() { request(daemon.clientAddress, "GET", "/read/x", fmt.Sprint(name, "-", number), -1, nil) })
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	arrivals, most := limited.Arrivals(), 0
	for first, oldest := range arrivals {
		count := 0
		for _, arrival := range arrivals[first:] {
			if arrival.Sub(oldest) <= window {
				count++
			}
		}
		// The backend server has told the daemons half a second after the first response at the latest.
		if oldest.Sub(arrivals[0]) >= 500*time.Millisecond {
			most = max(most, count)
		}
	}
	if allowed := 1.5*limit*window.Seconds() + 5; float64(most) > allowed {
		t.Errorf("%d requests arrived within %v at a limit of %v a second, %v are allowed", most, window, limit, allowed)
	}
	if least := limit * 6; float64(len(arrivals)) < least {
		t.Errorf("only %d requests arrived within eight seconds at a limit of %v a second", len(arrivals), limit)
	}
}
