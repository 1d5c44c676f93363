package commander

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lagoonlanding.example/lagoonlanding/operations/administrator/encoder"
)

func commands(options *options) []*ffcli.Command {
	return []*ffcli.Command{
		checkCommand(options), planCommand(options), publishCommand(options), getCommand(options), historyCommand(options),
		zoneCommand(options), statusCommand(options), explainCommand(options), drainCommand(options), watchCommand(options),
	}
}

func getCommand(options *options) *ffcli.Command {
	flags := newFlags("get")
	options.register(flags)
	version := flags.Uint64("version", 0, "a version from the history, 0 for the set in force")
	return &ffcli.Command{
		Name: "get", ShortUsage: "lagoonctl get [flags]", FlagSet: flags,
		ShortHelp: "write a published set as TOML",
		LongHelp:  "EXAMPLES\n  lagoonctl get > set.toml\n  lagoonctl get -version 6",
		Exec: func(ctx context.Context, _ []string) error {
			caller, printer, err := options.callerAndPrinter()
			if err != nil {
				return err
			}
			set, err := caller.Set(ctx, *version)
			if err != nil {
				return err
			}
			return printer.Set(set)
		},
	}
}

func historyCommand(options *options) *ffcli.Command {
	flags := newFlags("history")
	options.register(flags)
	return &ffcli.Command{
		Name: "history", ShortUsage: "lagoonctl history [flags]", FlagSet: flags,
		ShortHelp: "list the publications of the history, newest first",
		LongHelp:  "EXAMPLES\n  lagoonctl history",
		Exec: func(ctx context.Context, _ []string) error {
			caller, printer, err := options.callerAndPrinter()
			if err != nil {
				return err
			}
			history, err := caller.History(ctx)
			if err != nil {
				return err
			}
			return printer.History(history)
		},
	}
}

func zoneCommand(options *options) *ffcli.Command {
	return &ffcli.Command{
		Name: "zone", ShortUsage: "lagoonctl zone <out|return> [flags] <zone>",
		ShortHelp:   "take an availability zone out of service or back in",
		LongHelp:    "EXAMPLES\n  lagoonctl zone out -note \"power works\" piraeus\n  lagoonctl zone return piraeus",
		Subcommands: []*ffcli.Command{zoneActionCommand(options, "out"), zoneActionCommand(options, "return")},
	}
}

func zoneActionCommand(options *options, action string) *ffcli.Command {
	flags := newFlags(action)
	publishflags := &publishFlags{}
	options.register(flags)
	publishflags.register(flags)
	return &ffcli.Command{
		Name: action, ShortUsage: fmt.Sprintf("lagoonctl zone %s [flags] <zone>", action), FlagSet: flags,
		ShortHelp: "publish the set in force with one zone changed: " + action,
		LongHelp:  fmt.Sprintf("EXAMPLES\n  lagoonctl zone %s -accept low-capacity piraeus", action),
		Exec: func(ctx context.Context, args []string) error {
			zone, err := singleArgument(args, "the name of a zone")
			if err != nil {
				return err
			}
			caller, err := options.caller()
			if err != nil {
				return err
			}
			outcome, err := caller.Zone(ctx, zone, action, encoder.ZoneRequest{
				Accept: publishflags.accepted(), Operator: publishflags.operator, Note: publishflags.note, Wait: publishflags.wait.String(),
			})
			if err != nil {
				return err
			}
			return options.printOutcome(outcome)
		},
	}
}

func statusCommand(options *options) *ffcli.Command {
	flags := newFlags("status")
	options.register(flags)
	return &ffcli.Command{
		Name: "status", ShortUsage: "lagoonctl status [flags]", FlagSet: flags,
		ShortHelp: "show owners, coordinators and leases of all groups, and what currently cannot be done and why",
		LongHelp:  "EXAMPLES\n  lagoonctl status\n  lagoonctl status -admin-url http://10.0.0.7:7004 -output json",
		Exec: func(ctx context.Context, _ []string) error {
			caller, printer, err := options.callerAndPrinter()
			if err != nil {
				return err
			}
			status, err := caller.Status(ctx)
			if err != nil {
				return err
			}
			return printer.Status(status)
		},
	}
}

func explainCommand(options *options) *ffcli.Command {
	flags := newFlags("explain")
	options.register(flags)
	service := flags.String("service", "", "the service that owns the key")
	workspace := flags.String("workspace", "", "the workspace of the key")
	return &ffcli.Command{
		Name: "explain", ShortUsage: "lagoonctl explain -service <service> -workspace <workspace> [flags] <key>", FlagSet: flags,
		ShortHelp: "show which instance owns a key, and why",
		LongHelp:  "EXAMPLES\n  lagoonctl explain -service status-app -workspace mesh tag-17",
		Exec: func(ctx context.Context, args []string) error {
			key, err := singleArgument(args, "the key")
			if err != nil {
				return err
			}
			caller, printer, err := options.callerAndPrinter()
			if err != nil {
				return err
			}
			explanation, err := caller.Explain(ctx, *service, *workspace, key)
			if err != nil {
				return err
			}
			return printer.Explanation(explanation)
		},
	}
}
