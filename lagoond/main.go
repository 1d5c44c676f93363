package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding/adapters/loader"
	"lagoonlanding.example/lagoonlanding/adapters/storer"
)

// The exit codes of the program.
const (
	exitFailure  = 1
	exitSettings = 2
)

// collectPercent is how much the heap may grow between two garbage collections, in hundredths of what is in use.
//
// A daemon's live heap is a few megabytes, so the usual 100 collects many times a second under load.
const collectPercent = 400

func main() {
	if _, ok := os.LookupEnv("GOGC"); !ok {
		debug.SetGCPercent(collectPercent)
	}
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func run(args []string) error {
	options, err := parseOptions(args)
	if errors.Is(err, flag.ErrHelp) {
		return nil
	}
	if err != nil {
		return err
	}
	settings, err := loader.Load(options.settings, options.overrides)
	if err != nil {
		return err
	}
	if options.checkOnly {
		fmt.Println(options.settings + ": the settings are valid")
		return nil
	}
	log := newLog(settings)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	return serve(ctx, settings, log)
}

// serve runs the daemon until ctx ends and its work is handed over.
func serve(ctx context.Context, settings loader.Settings, log *logrus.Logger) error {
	daemon, err := newDaemon(settings, storer.New(storer.Config{URL: settings.StoreURL()}), log)
	if err != nil {
		return err
	}
	return daemon.run(ctx)
}

func exitCode(err error) int {
	var faults loader.Faults
	if errors.As(err, &faults) || errors.Is(err, errUsage) {
		return exitSettings
	}
	return exitFailure
}
