package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"lagoonlanding.example/lagoonlanding/platform/simulator"
)

const (
	// leaveAfterCopy is how long after the copy of the store the upstream leaves, and drillAfter how long after that the drill begins.
	leaveAfterCopy, drillAfter = time.Second, time.Second
	// awayTime is how long the store is away, killAfter when in that time the daemon is killed, and startAfter when it is started again.
	awayTime, killAfter, startAfter = time.Second, 300 * time.Millisecond, 500 * time.Millisecond
	// lateBy is how late the last heartbeat of the upstream arrives.
	lateBy = 4 * time.Second
	// drainTime is the bound drainS, and serveTime how long the upstream goes on serving after its leaving was acknowledged.
	drainTime, serveTime = 2 * time.Second, 12 * time.Second
	// trafficClients is the number of clients, each of which sends one request after the other.
	trafficClients = 8
)

// probeDrill restores the store from a copy, and kills a daemon meanwhile, after that daemon has acknowledged that its upstream leaves.
func probeDrill(ctx context.Context, fleet *fleet, hasTrouble bool) error {
	origin, err := fleet.add("origin", "front")
	if err != nil {
		return err
	}
	leaving, err := fleet.add("server-0", "ledger")
	if err != nil {
		return err
	}
	if _, err := fleet.add("server-1", "ledger"); err != nil {
		return err
	}
	if err := fleet.awaitReady(ctx); err != nil {
		return err
	}
	if err := fleet.awaitService(ctx, origin); err != nil {
		return err
	}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	for number := range trafficClients {
		clients.Go(func() {
			for count := 0; sending.Err() == nil; count++ {
				id := fmt.Sprintf("request-%d-%d", number, count)
				upload(fleet.record, origin.outbound, id, "/release/"+id, []string{"x"}, 0)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	fleet.store.Save()
	fleet.record.note("the store is copied")
	time.Sleep(leaveAfterCopy)
	name, _, text, err := leaving.upstream.heartbeat()
	if err != nil {
		return err
	}
	clients.Go(func() {
		time.Sleep(lateBy)
		status, err := leaving.upstream.call(ctx, "instances.heartbeat", name, text)
		fleet.record.note("the late heartbeat of %s arrives and gets status %d, %v", name, status, err)
	})
	acknowledged, err := leaving.upstream.leave(ctx)
	if err != nil {
		return err
	}
	inTouch := acknowledged
	if hasTrouble {
		time.Sleep(drillAfter)
		if inTouch, err = fleet.drill(leaving); err != nil {
			return err
		}
		inTouch = inTouch.Add(contactTime)
	}
	time.Sleep(time.Until(acknowledged.Add(serveTime)))
	stop()
	clients.Wait()
	late := 0
	for _, arrival := range leaving.upstream.arrived() {
		if arrival.at.After(acknowledged.Add(drainTime)) && arrival.at.After(inTouch) {
			late++
		}
	}
	if late > 0 {
		fleet.record.breach("DRAIN: %d requests reached %s later than %v after its leaving was acknowledged, all daemons being in touch and the store stable",
			late, name, drainTime)
	}
	return nil
}

// drill takes the store away and brings it back from its copy, kills the daemon meanwhile and starts it again; it returns the end of both.
func (fleet *fleet) drill(killed *machine) (time.Time, error) {
	fleet.record.note("the store is away")
	fleet.store.SetFault(simulator.StoreRefuses)
	began := time.Now()
	time.Sleep(killAfter)
	fleet.record.note("daemon %s is killed", killed.name)
	if err := killed.command.Process.Signal(syscall.SIGKILL); err != nil {
		return time.Time{}, err
	}
	<-killed.ended
	time.Sleep(startAfter)
	if err := fleet.start(killed); err != nil {
		return time.Time{}, err
	}
	time.Sleep(time.Until(began.Add(awayTime)))
	fleet.store.Restore()
	fleet.store.SetFault(simulator.StoreWorks)
	fleet.record.note("the store is back from its copy, in era %d", fleet.store.Era())
	// What the operator wrote is written again.
	return time.Now(), fleet.store.Put("op/config", configuration)
}
