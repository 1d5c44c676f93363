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

	"github.com/peterbourgon/ff/v3"
	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding/mesh/logger"
	"lagoonlanding.example/lagoonlanding/platform"
)

// The exit codes of the program.
const (
	exitFailure = 1
	exitUsage   = 2
)

var errUsage = errors.New("invalid usage")

// options are the values from the command line and the environment.
type options struct {
	settings  string
	checkOnly bool
	level     string
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "lagoonmesh:", err)
		if errors.Is(err, errUsage) {
			os.Exit(exitUsage)
		}
		os.Exit(exitFailure)
	}
}

func parseOptions(args []string) (options, error) {
	flags := flag.NewFlagSet("lagoonmesh", flag.ContinueOnError)
	var parsed options
	flags.StringVar(&parsed.settings, "settings", os.Getenv(platform.SettingsVariable), "path of the platform's settings file")
	flags.BoolVar(&parsed.checkOnly, "check-settings", false, "check the settings and exit")
	flags.StringVar(&parsed.level, "log-level", "info", "minimum log level: debug, info, warn or error")
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix("LAGOONMESH"))
	if err == nil && flags.NArg() > 0 {
		err = fmt.Errorf("unexpected argument %q", flags.Arg(0))
	}
	if err == nil && parsed.settings == "" {
		err = errors.New("no settings file given")
	}
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		err = fmt.Errorf("%w: %w", errUsage, err)
	}
	return parsed, err
}

func run(args []string) error {
	options, err := parseOptions(args)
	if errors.Is(err, flag.ErrHelp) {
		return nil
	}
	if err != nil {
		return err
	}
	level, err := logrus.ParseLevel(options.level)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	settings, err := platform.LoadSettings(options.settings)
	if err != nil {
		return oops.With("file", options.settings).Wrap(err)
	}
	if options.checkOnly {
		fmt.Println(options.settings + ": the settings are valid")
		return nil
	}
	log, logQueue := logger.New(logger.Config{Output: os.Stdout, Level: level})
	defer logQueue.Close()
	limitMemory(settings.MemoryLimit())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	daemon := newDaemon(settings, options.settings, log, logQueue.Dropped)
	return daemon.run(ctx)
}

const (
	// gcPercent is the heap growth in percent that triggers a garbage collection.
	gcPercent = 100
	// memoryLimitShare is the fraction of the memory limit of the process that is set as the Go runtime's soft limit.
	memoryLimitShare = 0.7
)

// limitMemory configures the garbage collector for a memory limit in bytes; zero means no limit.
func limitMemory(limit int64) {
	debug.SetGCPercent(gcPercent)
	if limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * memoryLimitShare))
	}
}
