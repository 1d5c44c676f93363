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
	flags.StringVar(&options.deployment, "deployment", "karotsaki", "name of the deployment: karotsaki or ezo")
	flags.StringVar(&options.binaries, "binaries", "bin", "directory of the programs")
	flags.StringVar(&options.sets, "sets", "trials/demo/testdata", "directory of the sets to publish")
	flags.IntVar(&options.port, "port", 21000, "first port on loopback")
	flags.BoolVar(&options.keep, "keep", false, "print example commands and keep running until an interrupt")
	flags.BoolVar(&options.faults, "faults", false, "run the faults instead of the demonstration")
	flags.StringVar(&options.only, "only", "", "run only the faults whose name contains the text")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("LAGOONLANDING_DEMO")); err != nil {
		return options, fmt.Errorf("parse flags: %w", err)
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
	workDir, err := os.MkdirTemp("", "lagoonlanding-demo-")
	if err != nil {
		return false, fmt.Errorf("create the directory for settings and logs: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	processes := starter.New(starter.Config{Binaries: options.binaries, Logs: workDir})
	printer := printer.New(os.Stdout)
	clean, err := runDemonstration(ctx, options, plan, workDir, processes, printer)
	printer.Step("stopping all processes")
	if killed := processes.StopAll(); len(killed) > 0 {
		log.Warnf("Killed after the timeout of the graceful shutdown: %s.", strings.Join(killed, ", "))
	}
	if clean && err == nil {
		return true, os.RemoveAll(workDir)
	}
	log.Infof("Logs and runs are in %s.", workDir)
	return clean, err
}

func runDemonstration(ctx context.Context, options options, plan deployer.Plan, workDir string, processes *starter.Starter, printer *printer.Printer) (bool, error) {
	fleet := deployer.New(deployer.Config{Plan: plan, Port: options.port, WorkDir: workDir, Relayed: options.faults, Starter: processes})
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
