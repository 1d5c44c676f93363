package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
)

// options holds the values of the command-line flags.
type options struct {
	binaries string
	port     int
	duration time.Duration
	rate     int
	workers  int
	backend  string
	daemon   string
}

func parse(args []string) (options, error) {
	flags := flag.NewFlagSet("bench", flag.ContinueOnError)
	var options options
	flags.StringVar(&options.binaries, "binaries", "bin", "folder of the built programs")
	flags.IntVar(&options.port, "port", 25000, "first loopback port of the processes")
	flags.DurationVar(&options.duration, "duration", 5*time.Second, "length of each measurement")
	flags.IntVar(&options.rate, "rate", 1000, "requests per second of the paced load")
	flags.IntVar(&options.workers, "workers", 32, "concurrent connections of the load")
	flags.StringVar(&options.backend, "backend", "", "run as a backend server at this address instead of measuring")
	flags.StringVar(&options.daemon, "daemon", "", "address of the daemon to which the backend server announces itself")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("LAGOONLANDING_BENCH")); err != nil {
		return options, fmt.Errorf("parse the flags: %w", err)
	}
	return options, nil
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	options, err := parse(args)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if options.backend != "" {
		return serveBackend(ctx, options.backend, options.daemon)
	}
	fleet, err := startFleet(ctx, options)
	if err != nil {
		return err
	}
	defer fleet.stop()
	return measure(ctx, options, fleet)
}
