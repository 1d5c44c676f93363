package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/sirupsen/logrus"

	"lagoonlanding.example/demo/demonstrator"
	"lagoonlanding.example/demo/deployer"
	"lagoonlanding.example/demo/operator"
	"lagoonlanding.example/demo/printer"
	"lagoonlanding.example/demo/starter"
)

type options struct {
	deployment string
	binaries   string
	sets       string
	port       int
	keep       bool
	faults     bool
	only       string
}

func main() {
	log := logrus.WithField("part", "demo")
	clean, err := run(os.Args[1:], log)
	if err != nil {
		log.Errorf("Stopped: %v.", err)
	}
	if err != nil || !clean {
		os.Exit(1)
	}
}

func parse(args []string) (options, error) {
	var options options
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	flags.StringVar(&options.deployment, "deployment", "karotsaki", "karotsaki or ezo")
	flags.StringVar(&options.binaries, "binaries", "bin", "folder of the programs")
	flags.StringVar(&options.sets, "sets", "trials/demo/testdata", "folder of the published sets")
	flags.IntVar(&options.port, "port", 21000, "first of the ports on loopback")
	flags.BoolVar(&options.keep, "keep", false, "stay up and print what to try, until an interrupt")
	flags.BoolVar(&options.faults, "faults", false, "run the faults in place of the demonstration")
	flags.StringVar(&options.only, "only", "", "run only the faults whose name contains the text")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("LAGOONLANDING_DEMO")); err != nil {
		return options, fmt.Errorf("read the flags: %w", err)
	}
	return options, nil
}

func run(args []string, log *logrus.Entry) (bool, error) {
	options, err := parse(args)
	if err != nil {
		return false, err
	}
	plan, err := deployer.NewPlan(options.deployment)
	if err != nil {
		return false, err
	}
	work, err := os.MkdirTemp("", "lagoonlanding-demo-")
	if err != nil {
		return false, fmt.Errorf("make the folder for settings and logs: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	processes := starter.New(starter.Config{Binaries: options.binaries, Logs: work})
	printer := printer.New(os.Stdout)
	clean, err := play(ctx, options, plan, work, processes, printer)
	printer.Step("stopping all processes")
	if killed := processes.StopAll(); len(killed) > 0 {
		log.Warnf("Killed after a graceful shutdown took too long: %s.", strings.Join(killed, ", "))
	}
	if clean && err == nil {
		return true, os.RemoveAll(work)
	}
	log.Infof("Logs and runs are in %s.", work)
	return clean, err
}

func play(ctx context.Context, options options, plan deployer.Plan, work string, processes *starter.Starter, printer *printer.Printer) (bool, error) {
	fleet := deployer.New(deployer.Config{Plan: plan, Port: options.port, WorkDir: work, Relayed: options.faults, Starter: processes})
	demonstrator := demonstrator.New(demonstrator.Config{
		Plan: plan, Fleet: fleet, Printer: printer,
		Operator: operator.New(operator.Config{
			Program: filepath.Join(options.binaries, "lagoonctl"), StoreURL: fleet.StoreURL(),
			AdminURL: "http://" + fleet.Instances()[1].AdminAddress(), Set: filepath.Join(options.sets, plan.Name()+".toml"),
		}),
	})
	if err := demonstrator.Prepare(ctx); err != nil {
		return false, err
	}
	if options.keep {
		return true, demonstrator.RunInteractive(ctx)
	}
	if options.faults {
		return demonstrator.RunFaults(ctx, options.only)
	}
	return demonstrator.Run(ctx)
}
