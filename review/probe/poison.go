package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// serverCount is the number of upstreams of the service, as in a small deployment.
	serverCount = 4
	// ordinaryClients is the number of clients that send ordinary requests, one after the other.
	ordinaryClients = 12
	// poisonText is the body of the request that crashes each upstream that begins to run it, and poisonPause the time between two of its copies.
	poisonText, poisonPause = "poison", 400 * time.Millisecond
	// rolls is how often the daemons are stopped and started in turn, and rollGap the least time between two stops.
	rolls, rollGap = 3, 2 * time.Second
	// firstTime is how long the copies come before the first stop, and poisonTime that after each round of stops.
	firstTime, poisonTime = 6 * time.Second, 11 * time.Second
	// contactTime is the bound contactS, and maxRetries how many retries may reach upstreams that long after the third crash.
	contactTime, maxRetries = 3 * time.Second, 3
)

// probePoison sends a request that crashes upstreams again and again, while the daemons are stopped and started in turn.
func probePoison(ctx context.Context, fleet *fleet, hasTrouble bool) error {
	for number := range serverCount {
		added, err := fleet.add(fmt.Sprintf("server-%d", number), "ledger")
		if err != nil {
			return err
		}
		added.upstream.crashes = func(body string) bool { return body == poisonText }
	}
	if err := fleet.awaitReady(ctx); err != nil {
		return err
	}
	for _, machine := range fleet.machines {
		if err := fleet.awaitService(ctx, machine); err != nil {
			return err
		}
	}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	for number := range ordinaryClients {
		clients.Go(func() {
			for count := 0; sending.Err() == nil; count++ {
				id := fmt.Sprintf("ordinary-%d-%d", number, count)
				upload(fleet.record, fleet.machines[number%serverCount].outbound, id, "/release/"+id, []string{"ordinary"}, 0)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	copies := 0
	sendCopies := func(term time.Duration) {
		for end := time.Now().Add(term); time.Now().Before(end); time.Sleep(poisonPause) {
			copies++
			id, outbound := fmt.Sprintf("poison-%d", copies), fleet.machines[copies%serverCount].outbound
			clients.Go(func() { upload(fleet.record, outbound, id, "/release/poison", []string{poisonText}, 0) })
		}
	}
	sendCopies(firstTime)
	for range rolls {
		if hasTrouble {
			if err := fleet.roll(ctx); err != nil {
				return err
			}
		}
		// All daemons are in touch when the request comes again.
		time.Sleep(contactTime + time.Second)
		sendCopies(poisonTime)
	}
	stop()
	clients.Wait()
	return fleet.checkPoison()
}

// roll stops and starts the daemons in turn.
func (fleet *fleet) roll(ctx context.Context) error {
	for _, machine := range fleet.machines {
		stopped := time.Now()
		fleet.record.note("daemon %s gets SIGTERM", machine.name)
		if err := machine.command.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		<-machine.ended
		if err := fleet.start(machine); err != nil {
			return err
		}
		if err := fleet.awaitReady(ctx); err != nil {
			return err
		}
		time.Sleep(time.Until(stopped.Add(rollGap)))
	}
	return nil
}

// checkPoison counts the runs of the request that crashes upstreams, later than the bound after its third crash.
func (fleet *fleet) checkPoison() error {
	var runs []run
	for _, machine := range fleet.machines {
		for _, run := range machine.upstream.ran() {
			if run.body == poisonText {
				runs = append(runs, run)
			}
		}
	}
	if len(runs) < maxRetries {
		fleet.record.note("the request ran %d times only", len(runs))
		return nil
	}
	sortRuns(runs)
	third, late := runs[2].at.Add(crashAfter), 0
	for _, run := range runs {
		if run.at.After(third.Add(contactTime)) {
			late++
		}
	}
	fleet.record.note("the request crashed upstreams %d times, %d of them later than %v after its third crash", len(runs), late, contactTime)
	if late > maxRetries {
		fleet.record.breach("BUDGET: %d retries reached upstreams later than %v after the third crash", late, contactTime)
	}
	return nil
}
