package main

import (
	"flag"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3"

	"lagoonlanding.example/upstreamstandin/performer"
)

// The defaults of the server's behaviour.
const (
	defaultSlots           = 6
	defaultQueue           = 12
	defaultServiceTime     = 4 * time.Millisecond
	defaultSigma           = 0.5
	defaultColdCompletions = 40
	defaultColdFactor      = 4
	defaultReportLag       = 2 * time.Second
)

type settings struct {
	address     string
	daemon      string
	name        string
	service     string
	region      string
	runsFile    string
	crashOnMark bool
	performer   performer.Config
}

func parse(args []string) (settings, error) {
	var settings settings
	flags := flag.NewFlagSet("upstreamstandin", flag.ContinueOnError)
	flags.StringVar(&settings.address, "address", "127.0.0.1:8000", "host and port to listen on")
	flags.StringVar(&settings.daemon, "daemon", "127.0.0.1:7002", "host and port of the daemon for its backend server")
	flags.StringVar(&settings.name, "name", "upstream", "name that stands in answers and runs")
	flags.StringVar(&settings.service, "service", "", "name of the service")
	flags.StringVar(&settings.region, "region", "", "name of the region")
	flags.StringVar(&settings.runsFile, "runs-file", "", "file that gets a line for each run")
	flags.BoolVar(&settings.crashOnMark, "crash-on-mark", false, "exit on a request with lagoonlanding-crash: true")
	flags.IntVar(&settings.performer.Slots, "slots", defaultSlots, "requests that run at once")
	flags.IntVar(&settings.performer.Queue, "queue", defaultQueue, "bound on requests that wait for a slot")
	flags.DurationVar(&settings.performer.ServiceTime, "service-time", defaultServiceTime, "median time of a run")
	flags.Float64Var(&settings.performer.Sigma, "sigma", defaultSigma, "spread of the lognormal service times")
	flags.Uint64Var(&settings.performer.Seed, "seed", 1, "start of the sequence of service times")
	flags.IntVar(&settings.performer.ColdCompletions, "cold-completions", defaultColdCompletions, "runs before the server is warm")
	flags.Float64Var(&settings.performer.ColdFactor, "cold-factor", defaultColdFactor, "lengthens runs while the server is cold")
	flags.BoolVar(&settings.performer.CheckFence, "check-fence", true, "refuse outdated fencing tokens")
	flags.DurationVar(&settings.performer.ReportLag, "report-lag", defaultReportLag, "age of what the load report says")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("UPSTREAMSTANDIN")); err != nil {
		return settings, fmt.Errorf("read the flags: %w", err)
	}
	if settings.service == "" {
		return settings, fmt.Errorf("read the flags: service is missing")
	}
	return settings, nil
}
