package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/peterbourgon/ff/v3"

	"lagoonlanding.example/faultsoak/player"
)

// The exit codes of the program.
const (
	exitViolation = 1
	exitUsage     = 2
)

// options are what the command line says.
type options struct {
	binaries, logs string
	seed, seeds    uint64
	daemons        int
	faults         int
}

func main() {
	options, err := parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "faultsoak:", err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if !playAll(ctx, options) {
		stop()
		os.Exit(exitViolation)
	}
}

func parse(args []string) (options, error) {
	flags := flag.NewFlagSet("faultsoak", flag.ContinueOnError)
	var parsed options
	flags.StringVar(&parsed.binaries, "binaries", "bin", "folder of the programs")
	flags.StringVar(&parsed.logs, "logs", "out/faultsoak", "folder for the logs of the daemons, one for each seed")
	flags.Uint64Var(&parsed.seed, "seed", 1, "first seed to play")
	flags.Uint64Var(&parsed.seeds, "seeds", 1, "how many seeds to play, one after the other")
	flags.IntVar(&parsed.daemons, "daemons", 8, "daemons of the fleet; half of them beside servers of a service that is divided by key")
	flags.IntVar(&parsed.faults, "faults", 14, "faults of a play")
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix("FAULTSOAK"))
	if err == nil && parsed.daemons < 4 {
		err = fmt.Errorf("%d daemons are too few: a service needs two", parsed.daemons)
	}
	return parsed, err
}

// playAll plays the seeds and reports whether all promises were kept.
func playAll(ctx context.Context, options options) bool {
	kept := true
	for seed := options.seed; seed < options.seed+options.seeds && ctx.Err() == nil; seed++ {
		began := time.Now()
		report, err := player.Play(ctx, player.Config{
			Seed: seed, Binaries: options.binaries, Logs: fmt.Sprintf("%s/%d", options.logs, seed), Daemons: options.daemons, Faults: options.faults,
		})
		if err != nil {
			fmt.Printf("seed %d: %v\n", seed, err)
			kept = false
			continue
		}
		fmt.Printf("seed %d: %s in %.0f s\n", seed, report, time.Since(began).Seconds())
		for _, line := range report.Violations() {
			fmt.Printf("  %s\n", line)
			kept = false
		}
		for _, line := range report.Faults() {
			if len(report.Violations()) > 0 {
				fmt.Printf("    %s\n", line)
			}
		}
	}
	return kept
}
