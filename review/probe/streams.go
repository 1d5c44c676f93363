package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// streamCount is the number of uploads that are in progress when the connections are reset.
	streamCount = 8
	// pieceCount is the number of chunks of an upload, and piecePause the time before each.
	pieceCount = 5
	piecePause = 300 * time.Millisecond
	// resetAfter is when the connections are reset, between the first and the second chunk.
	resetAfter = 450 * time.Millisecond
	// otherMachines is the number of machines beside the two that the requests use, so that one is a tenth of all.
	otherMachines = 8
	// resetShare is the share of that machine's connections that are reset.
	resetShare = 0.5
)

// probeStreams resets half of the connections from other daemons to one daemon once, while clients upload bodies in chunks.
func probeStreams(ctx context.Context, fleet *fleet, hasTrouble bool) error {
	origin, err := fleet.add("origin", "front", false)
	if err != nil {
		return err
	}
	server, err := fleet.add("server", "ledger", true)
	if err != nil {
		return err
	}
	for number := range otherMachines {
		if _, err := fleet.add(fmt.Sprintf("other-%d", number), "front", false); err != nil {
			return err
		}
	}
	if err := fleet.awaitReady(ctx); err != nil {
		return err
	}
	if err := fleet.awaitService(ctx, origin); err != nil {
		return err
	}
	// Ordinary requests side by side leave idle connections between the daemons.
	var warmUp sync.WaitGroup
	for number := range streamCount {
		warmUp.Go(func() {
			upload(fleet.record, origin.outbound, fmt.Sprintf("warm-%d", number), "/release/warm", []string{"x"}, 0)
		})
	}
	warmUp.Wait()
	sent := map[string]string{}
	var uploads sync.WaitGroup
	for number := range streamCount {
		id := fmt.Sprintf("upload-%d", number)
		var pieces []string
		for piece := range pieceCount {
			pieces = append(pieces, fmt.Sprintf("<%d.%d>", number, piece))
		}
		sent[id] = strings.Join(pieces, "")
		uploads.Go(func() {
			upload(fleet.record, origin.outbound, id, "/release/"+id, pieces, piecePause)
		})
	}
	if hasTrouble {
		time.Sleep(resetAfter)
		fleet.record.note("%d connections from other daemons to the daemon server are reset, the others and new ones work", server.peer.resetShare(resetShare))
	}
	uploads.Wait()
	for _, run := range server.upstream.ran() {
		if want, ok := sent[run.id]; ok && run.body != want {
			fleet.record.breach("UNASKED: %s was sent with the body %q and runs with %q", run.id, want, run.body)
		}
	}
	return nil
}

// awaitService waits until requests from the machine are answered.
func (fleet *fleet) awaitService(ctx context.Context, origin *machine) error {
	for number := 0; ctx.Err() == nil; number++ {
		if upload(fleet.record, origin.outbound, fmt.Sprintf("first-%d", number), "/release/first", []string{"x"}, 0).status == 200 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("requests are not served: %w", ctx.Err())
}
