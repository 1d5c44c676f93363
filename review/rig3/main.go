package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	troubleless = "0"
)

// scenario plays a case on a fleet and returns what broke the rule, nothing if the rule held.
type scenario func(rig *rig) ([]string, error)

var scenarios = map[string]scenario{
	"queued-zone":  queuedZone,
	"left-zone":    leftZone,
	"changed-path": changedPath,
	"late-drain":   lateDrain,
	"lost-behind":  lostBehind,
}

func main() { os.Exit(run()) }

// run plays the case that the command line names and returns the exit code.
func run() int {
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", "record.txt", "file for the record of the run")
	daemon := flag.String("daemon", "target/lagoonmesh", "path of the daemon")
	flag.Parse()
	play, ok := scenarios[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "rig3: unknown case %q\n", *name)
		return exitNotRun
	}
	rig, err := newRig(*daemon, *recordPath, os.Getenv("TROUBLE") != troubleless)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig3:", err)
		return exitNotRun
	}
	rig.closeWhenInterrupted()
	broken, err := play(rig)
	err = errors.Join(err, rig.close())
	if err != nil {
		rig.record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig3:", err)
		return exitNotRun
	}
	for _, line := range broken {
		rig.record.printf("BROKEN %s", line)
		fmt.Println(line)
	}
	if len(broken) > 0 {
		fmt.Printf("rule broken (%d)\n", len(broken))
		return exitBroken
	}
	rig.record.printf("the rule held")
	fmt.Println("rule held")
	return exitHeld
}
