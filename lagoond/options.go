package main

import (
	"errors"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3"

	"lagoonlanding.example/lagoonlanding/adapters/loader"
)

// environmentPrefix is the prefix of environment variables such as LAGOOND_STORE_URL.
const environmentPrefix = "LAGOOND"

var errUsage = errors.New("invalid usage")

// options are the values of the command line and the environment.
type options struct {
	settings  string
	checkOnly bool
	overrides []loader.Override
}

func parseOptions(args []string) (options, error) {
	flags := flag.NewFlagSet("lagoond", flag.ContinueOnError)
	var parsed options
	flags.StringVar(&parsed.settings, "settings", "lagoond.toml", "path of the settings file")
	flags.BoolVar(&parsed.checkOnly, "check-settings", false, "check the settings and exit")
	for _, key := range loader.Keys() {
		flags.String(key, "", "overrides the setting in the file")
	}
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix(environmentPrefix)); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return options{}, flag.ErrHelp
		}
		return options{}, fmt.Errorf("%w: %w", errUsage, err)
	}
	if flags.NArg() > 0 {
		return options{}, fmt.Errorf("%w: unexpected argument %q", errUsage, flags.Arg(0))
	}
	flags.Visit(func(visited *flag.Flag) {
		if visited.Name != "settings" && visited.Name != "check-settings" {
			parsed.overrides = append(parsed.overrides, loader.NewOverride(visited.Name, visited.Value.String()))
		}
	})
	return parsed, nil
}
