package commander

import (
	"context"
	"flag"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lagoonlanding.example/lagoonlanding/operations/administrator/encoder"
	"lagoonlanding.example/lagoonlanding/operations/parser"
)

// publishFlags holds the flags of the commands that publish.
type publishFlags struct {
	base     uint64
	accept   string
	operator string
	note     string
	wait     time.Duration
	storeURL string
}

func (publishflags *publishFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&publishflags.accept, "accept", "", "accepted dangers, such as low-capacity or removed:route.tags, separated by commas")
	flags.StringVar(&publishflags.operator, "operator", currentUser(), "name of the publisher; the name of the key takes precedence")
	flags.StringVar(&publishflags.note, "note", "", "why")
	flags.DurationVar(&publishflags.wait, "wait", defaultWait, "how long to wait for the set to be in force everywhere")
}

func (publishflags *publishFlags) accepted() []string {
	var names []string
	for _, name := range strings.Split(publishflags.accept, ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func checkCommand(options *options) *ffcli.Command {
	flags := newFlags("check")
	options.registerOutput(flags)
	return &ffcli.Command{
		Name: "check", ShortUsage: "lagoonctl check [flags] <file or folder>", FlagSet: flags,
		ShortHelp: "report all faults of a set, without a daemon",
		LongHelp:  "EXAMPLES\n  lagoonctl check set.toml\n  lagoonctl check -output json set/",
		Exec:      withPath(func(_ context.Context, path string) error { return options.check(path) }),
	}
}

func (options *options) check(path string) error {
	sources, err := parser.Read(path)
	if err != nil {
		return err
	}
	printer, err := options.printer()
	if err != nil {
		return err
	}
	_, faults := parser.Parse(sources)
	if err := printer.Faults(encoder.FromFaults(faults)); err != nil {
		return err
	}
	if len(faults) > 0 {
		return exitWith(ExitFaulty)
	}
	return nil
}

func publishCommand(options *options) *ffcli.Command {
	flags := newFlags("publish")
	publishflags := &publishFlags{}
	options.register(flags)
	publishflags.register(flags)
	flags.Uint64Var(&publishflags.base, "base", 0, "version in force that the set was made from, 0 for the first set")
	flags.StringVar(&publishflags.storeURL, "store-url", "", "write directly to the store at this address, without a daemon; whether the set is in force is then not checked")
	return &ffcli.Command{
		Name: "publish", ShortUsage: "lagoonctl publish [flags] <file or folder>", FlagSet: flags,
		ShortHelp: "replace the whole set in force, and wait until it is in force everywhere",
		LongHelp: "Rejects faults, dangers that -accept does not name, and a base that is no longer in force.\n\n" +
			"EXAMPLES\n  lagoonctl publish set/\n  lagoonctl publish -base 7 -accept removed:route.tags -note \"tags moved\" set/",
		Exec: withPath(func(ctx context.Context, path string) error { return options.publish(ctx, publishflags, path) }),
	}
}

func (options *options) publish(ctx context.Context, publishflags *publishFlags, path string) error {
	sources, err := parser.Read(path)
	if err != nil {
		return err
	}
	if publishflags.storeURL != "" {
		return options.publishDirectly(ctx, publishflags, sources)
	}
	setrequest := encoder.SetRequest{
		Sources: encoder.FromSources(sources), BaseVersion: publishflags.base, Accept: publishflags.accepted(),
		Operator: publishflags.operator, Note: publishflags.note, Wait: publishflags.wait.String(),
	}
	caller, err := options.caller()
	if err != nil {
		return err
	}
	outcome, err := caller.Publish(ctx, setrequest)
	if err != nil {
		return err
	}
	return options.printOutcome(outcome)
}

func (options *options) printOutcome(outcome encoder.Outcome) error {
	printer, err := options.printer()
	if err != nil {
		return err
	}
	if err := printer.Outcome(outcome); err != nil {
		return err
	}
	return exitWith(verdictCode(outcome.Verdict))
}

func planCommand(options *options) *ffcli.Command {
	flags := newFlags("plan")
	options.register(flags)
	return &ffcli.Command{
		Name: "plan", ShortUsage: "lagoonctl plan [flags] <file or folder>", FlagSet: flags,
		ShortHelp: "show what publishing a set would change, move and endanger",
		LongHelp:  "EXAMPLES\n  lagoonctl plan set/",
		Exec:      withPath(func(ctx context.Context, path string) error { return options.plan(ctx, path) }),
	}
}

func (options *options) plan(ctx context.Context, path string) error {
	sources, err := parser.Read(path)
	if err != nil {
		return err
	}
	printer, err := options.printer()
	if err != nil {
		return err
	}
	caller, err := options.caller()
	if err != nil {
		return err
	}
	plan, err := caller.Plan(ctx, encoder.SetRequest{Sources: encoder.FromSources(sources)})
	if err != nil {
		return err
	}
	if err := printer.Plan(plan); err != nil {
		return err
	}
	switch {
	case len(plan.Faults) > 0:
		return exitWith(ExitFaulty)
	case len(plan.Dangers) > 0:
		return exitWith(ExitDangerous)
	}
	return nil
}
