package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// The exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitFailure = 2
)

// cases are the cases by name; each plays its events with or without the disruption and checks its rule.
var cases = map[string]func(fleet *fleet, hasTrouble bool) error{
	"late-registration": playLateRegistration,
	"late-bytes":        playLateBytes,
	"reset-upload":      playResetUpload,
	"forgotten-leaving": playForgottenLeaving,
	"refused-path":      playRefusedPath,
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	binary := flag.String("daemon", "target/lagoonmesh", "program of the daemon")
	hasTrouble := flag.Bool("trouble", true, "play the disruption")
	keepsLogs := flag.Bool("keep-logs", false, "keep the daemons' logs")
	flag.Parse()
	code, err := run(*name, *record, *binary, *hasTrouble, *keepsLogs)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
	}
	os.Exit(code)
}

func run(name, record, binary string, hasTrouble, keepsLogs bool) (int, error) {
	play, ok := cases[name]
	if !ok {
		return exitFailure, errors.New("there is no such case")
	}
	recorder, err := newRecorder(record)
	if err != nil {
		return exitFailure, err
	}
	defer recorder.close()
	fleet, err := newFleet(recorder, binary)
	if err != nil {
		return exitFailure, err
	}
	defer fleet.stop(keepsLogs)
	if err := play(fleet, hasTrouble); err != nil {
		recorder.note("the case could not run: %v", err)
		return exitFailure, err
	}
	if recorder.isBroken() {
		return exitBroken, nil
	}
	recorder.note("the rule held")
	return exitHeld, nil
}
