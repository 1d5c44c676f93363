package main

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// stayCount is the number of clients that wait for their answers, and leaveCount that of those that leave: 0.3 of all.
	stayCount, leaveCount = 14, 6
	// leaveAfter is when clients leave; half of the objective is two seconds.
	leaveAfter = 200 * time.Millisecond
	// busySlots and busyTime make requests wait for a slot for about a second.
	busySlots, busyTime = 12, 1200 * time.Millisecond
	// maxLateArrival is how long after a client has left its request may reach an upstream, and fewRequests how many may be later.
	maxLateArrival, fewRequests = 500 * time.Millisecond, 3
)

// probeLeavers lets clients leave in the middle of their uploads while the upstream is busy.
func probeLeavers(ctx context.Context, fleet *fleet, hasTrouble bool) error {
	origin, err := fleet.add("origin", "front")
	if err != nil {
		return err
	}
	server, err := fleet.add("server", "ledger")
	if err != nil {
		return err
	}
	server.upstream.set(busySlots, busyTime)
	if err := fleet.awaitReady(ctx); err != nil {
		return err
	}
	if err := fleet.awaitService(ctx, origin); err != nil {
		return err
	}
	var clients sync.WaitGroup
	for number := range stayCount {
		clients.Go(func() {
			id := fmt.Sprintf("stay-%d", number)
			upload(fleet.record, origin.outbound, id, "/history/"+id, []string{"a", "b"}, 0)
		})
	}
	time.Sleep(50 * time.Millisecond)
	var mutex sync.Mutex
	left := map[string]time.Time{}
	for number := range leaveCount {
		clients.Go(func() {
			id := fmt.Sprintf("leave-%d", number)
			if !hasTrouble {
				upload(fleet.record, origin.outbound, id, "/history/"+id, []string{"a", "b"}, leaveAfter)
				return
			}
			connection, err := openUpload(fleet.record, origin.outbound, id, "/history/"+id)
			if err != nil {
				return
			}
			_, _ = io.WriteString(connection, "1\r\na\r\n")
			time.Sleep(leaveAfter)
			connection.Close()
			fleet.record.note("the client of %s has left", id)
			mutex.Lock()
			defer mutex.Unlock()
			left[id] = time.Now()
		})
	}
	clients.Wait()
	time.Sleep(deadline)
	late := 0
	for _, arrival := range server.upstream.arrived() {
		if at, ok := left[arrival.id]; ok && arrival.at.Sub(at) > maxLateArrival {
			late++
			fleet.record.note("%s reached the upstream %v after its client had left", arrival.id, arrival.at.Sub(at).Round(time.Millisecond))
		}
	}
	if late > fewRequests {
		fleet.record.breach("GONE: %d requests reached an upstream over %v after their clients had left", late, maxLateArrival)
	}
	return nil
}
