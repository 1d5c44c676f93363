package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/peterbourgon/ff/v3"

	"lagoonlanding.example/faultsoak/runner"
)

// The exit codes of the command.
const (
	exitViolation = 1
	exitUsage     = 2
)

// options holds the command-line options.
type options struct {
	binaries, logs string
	seed, seeds    uint64
	daemons        int
	faults, drills int
}

func main() {
	options, err := parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "faultsoak:", err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if !runAll(ctx, options) {
		stop()
		os.Exit(exitViolation)
	}
}

func parse(args []string) (options, error) {
	flags := flag.NewFlagSet("faultsoak", flag.ContinueOnError)
	var parsed options
	flags.StringVar(&parsed.binaries, "binaries", "bin", "folder of the programs")
	flags.StringVar(&parsed.logs, "logs", "out/faultsoak", "folder for the logs of the daemons, with a subfolder for each seed")
	flags.Uint64Var(&parsed.seed, "seed", 1, "first seed to run")
	flags.Uint64Var(&parsed.seeds, "seeds", 1, "number of seeds to run, one after the other")
	flags.IntVar(&parsed.daemons, "daemons", 8, "number of daemons; half of them have backend servers of a sharded service")
	flags.IntVar(&parsed.faults, "faults", 14, "number of faults per run")
	flags.IntVar(&parsed.drills, "drills", 0, "number of restores of the store per run; the other faults of a seed don't depend on it")
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix("FAULTSOAK"))
	if err == nil && parsed.daemons < 4 {
		err = fmt.Errorf("%d daemons are too few: each of the two services needs two", parsed.daemons)
	}
	return parsed, err
}

// runAll runs the seeds and reports whether all guarantees were kept.
func runAll(ctx context.Context, options options) bool {
	passed := true
	for seed := options.seed; seed < options.seed+options.seeds && ctx.Err() == nil; seed++ {
		startTime := time.Now()
		report, err := runner.Run(ctx, runner.Config{
			Seed: seed, Binaries: options.binaries, Logs: fmt.Sprintf("%s/%d", options.logs, seed), Daemons: options.daemons, Faults: options.faults, Drills: options.drills,
		})
		if err != nil {
			fmt.Printf("seed %d: %v\n", seed, err)
			passed = false
			continue
		}
		fmt.Printf("seed %d: %s in %.0f s\n", seed, report, time.Since(startTime).Seconds())
		for _, line := range report.Violations() {
			fmt.Printf("  %s\n", line)
			passed = false
		}
		for _, line := range report.Faults() {
			if len(report.Violations()) > 0 {
				fmt.Printf("    %s\n", line)
			}
		}
	}
	return passed
}
