package main

import (
	"flag"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3"

	"lagoonlanding.example/upstreamstandin/simulator"
)

// Default values of the flags.
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
	simulator   simulator.Config
}

func parse(args []string) (settings, error) {
	var settings settings
	flags := flag.NewFlagSet("upstreamstandin", flag.ContinueOnError)
	flags.StringVar(&settings.address, "address", "127.0.0.1:8000", "host and port to listen on")
	flags.StringVar(&settings.daemon, "daemon", "127.0.0.1:7002", "host and port of the daemon for its backend server")
	flags.StringVar(&settings.name, "name", "upstream", "name of the server in answers and in the run log")
	flags.StringVar(&settings.service, "service", "", "name of the service")
	flags.StringVar(&settings.region, "region", "", "name of the region")
	flags.StringVar(&settings.runsFile, "runs-file", "", "file to which a line is appended for each run")
	flags.BoolVar(&settings.crashOnMark, "crash-on-mark", false, "exit on a request with the header Standin-Crash: true")
	flags.IntVar(&settings.simulator.Slots, "slots", defaultSlots, "maximum number of requests that run at once")
	flags.IntVar(&settings.simulator.Queue, "queue", defaultQueue, "maximum number of requests that wait for a slot")
	flags.DurationVar(&settings.simulator.ServiceTime, "service-time", defaultServiceTime, "median run time")
	flags.Float64Var(&settings.simulator.Sigma, "sigma", defaultSigma, "standard deviation of the logarithm of the run time")
	flags.Uint64Var(&settings.simulator.Seed, "seed", 1, "seed of the random run times")
	flags.IntVar(&settings.simulator.ColdCompletions, "cold-completions", defaultColdCompletions, "completed runs after which the server is warm")
	flags.Float64Var(&settings.simulator.ColdFactor, "cold-factor", defaultColdFactor, "factor on the run time while the server is cold")
	flags.BoolVar(&settings.simulator.CheckFence, "check-fence", true, "refuse requests with an outdated fencing token or an expired lease")
	flags.DurationVar(&settings.simulator.ReportLag, "report-lag", defaultReportLag, "age of the load that is reported")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("UPSTREAMSTANDIN")); err != nil {
		return settings, fmt.Errorf("parse flags: %w", err)
	}
	if settings.service == "" {
		return settings, fmt.Errorf("parse flags: service is missing")
	}
	return settings, nil
}
