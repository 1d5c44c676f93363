package main

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestBackendServerThatLeavesGetsNoRequestsAfterTheDrainTime covers one that says so in its responses before its announcements do.
func TestBackendServerThatLeavesGetsNoRequestsAfterTheDrainTime(t *testing.T) {
	for service, path := range map[string]string{"plain": "/read/x", "divided": "/keyed/x"} {
		t.Run(service, func(t *testing.T) {
			const drainTime = 2 * time.Second
			_, fleet := startFleet(t)
			leaving := fleet[service+"-1"].backend
			leaving.Leave()
			var clients sync.WaitGroup
			for name, daemon := range fleet {
				clients.Go(func() {
					for number, end := 0, time.Now().Add(2*drainTime); time.Now().Before(end); number++ {
						request(daemon.clientAddress, "GET", path, fmt.Sprint(name, "-", number), number*997%65536, nil)
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
			clients.Wait()
			arrivals := leaving.Arrivals()
			if len(arrivals) == 0 {
				t.Fatal("the backend server got no request and could not say that it leaves")
			}
			if last := arrivals[len(arrivals)-1].Sub(arrivals[0]); last > drainTime {
				t.Errorf("a request arrived %v after the first response that said so", last)
			}
		})
	}
}
