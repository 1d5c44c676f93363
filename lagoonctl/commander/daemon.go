package commander

import (
	"context"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lagoonlanding.example/lagoonctl/caller"
	"lagoonlanding.example/lagoonctl/printer"
)

// confirmInterval is the time between two checks whether a set is in force everywhere.
const confirmInterval = time.Second

// callerAndPrinter returns the caller and the printer that the flags select.
func (options *options) callerAndPrinter() (*caller.Caller, *printer.Printer, error) {
	printer, err := options.printer()
	if err != nil {
		return nil, nil, err
	}
	caller, err := options.caller()
	return caller, printer, err
}

func drainCommand(options *options) *ffcli.Command {
	flags := newFlags("drain")
	options.register(flags)
	return &ffcli.Command{
		Name: "drain", ShortUsage: "lagoonctl drain -admin-url <url> [flags]", FlagSet: flags,
		ShortHelp: "make one daemon hand over its shards and stop",
		LongHelp:  "EXAMPLES\n  lagoonctl drain -admin-url http://10.0.0.7:7004",
		Exec: func(ctx context.Context, _ []string) error {
			caller, printer, err := options.callerAndPrinter()
			if err != nil {
				return err
			}
			status, err := caller.Drain(ctx)
			if err != nil {
				return err
			}
			return printer.Status(status)
		},
	}
}

func watchCommand(options *options) *ffcli.Command {
	flags := newFlags("watch")
	options.register(flags)
	once := flags.Bool("once", false, "stop once the set in force now is in force everywhere")
	return &ffcli.Command{
		Name: "watch", ShortUsage: "lagoonctl watch [flags]", FlagSet: flags,
		ShortHelp: "follow the published sets, and report when each is in force everywhere",
		LongHelp:  "EXAMPLES\n  lagoonctl watch\n  lagoonctl watch -once",
		Exec: func(ctx context.Context, _ []string) error {
			caller, printer, err := options.callerAndPrinter()
			if err != nil {
				return err
			}
			err = watch(ctx, caller, printer, *once)
			if ctx.Err() != nil {
				return nil // The operator has interrupted it.
			}
			return err
		},
	}
}

func watch(ctx context.Context, caller *caller.Caller, printer *printer.Printer, once bool) error {
	version := uint64(0)
	for {
		publication, err := caller.Watch(ctx, version)
		if err != nil {
			return err
		}
		if publication.Version == version {
			continue
		}
		version = publication.Version
		if err := printer.Publication(publication); err != nil {
			return err
		}
		if err := printUntilInForce(ctx, caller, printer, version); err != nil || once {
			return err
		}
	}
}

// printUntilInForce prints the lags each time their number changes, until the set is in force everywhere.
func printUntilInForce(ctx context.Context, caller *caller.Caller, printer *printer.Printer, version uint64) error {
	lags := -1
	for {
		confirmation, err := caller.Confirmation(ctx, version)
		if err != nil {
			return err
		}
		if confirmation.InForce || len(confirmation.Lags) != lags {
			lags = len(confirmation.Lags)
			if err := printer.Confirmation(confirmation); err != nil {
				return err
			}
		}
		if confirmation.InForce {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(confirmInterval):
		}
	}
}
