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

// Exit codes of the program.
const (
	exitFailure  = 1
	exitSettings = 2
)

// gcPercent is the default GOGC value.
//
// The live heap of a daemon is a few megabytes; with Go's default of 100 the collector would run many times a second under load.
const gcPercent = 400

func main() {
	if _, ok := os.LookupEnv("GOGC"); !ok {
		debug.SetGCPercent(gcPercent)
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
	// A second signal terminates the process immediately.
	context.AfterFunc(ctx, stop)
	return serve(ctx, settings, log)
}

// serve runs the daemon until ctx is cancelled and its shards are handed over.
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
