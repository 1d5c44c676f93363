package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeout bounds a run.
const timeout = 110 * time.Second

// probes are the cases by name.
var probes = map[string]func(ctx context.Context, fleet *fleet, hasTrouble bool) error{
	"leavers": probeLeavers,
	"poison":  probePoison,
	"expects": probeExpects,
	"drill":   probeDrill,
}

func main() { os.Exit(play()) }

// play runs the case that the first argument names, with the daemon and the record file of the others.
func play() int {
	if len(os.Args) != 4 || probes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: probe CASE DAEMON RECORD")
		return exitNotRun
	}
	record, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "probe:", err)
		return exitNotRun
	}
	fleet, err := newFleet(record, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "probe:", err)
		return exitNotRun
	}
	defer fleet.close()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := probes[os.Args[1]](ctx, fleet, os.Getenv("TROUBLE") != "0"); err != nil {
		record.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "probe:", err)
		return exitNotRun
	}
	if count := record.count(); count > 0 {
		fmt.Printf("broken %d times\n", count)
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
