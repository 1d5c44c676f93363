package main

import (
	"errors"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3"

	"lagoonlanding.example/lagoonlanding/adapters/loader"
)

// environmentPrefix starts the names of the environment variables, such as LAGOOND_STORE_URL.
const environmentPrefix = "LAGOOND"

var errUsage = errors.New("wrong usage")

// options are what the command line and the environment say.
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
		flags.String(key, "", "replaces the setting of the file")
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
	flags.Visit(func(given *flag.Flag) {
		if given.Name != "settings" && given.Name != "check-settings" {
			parsed.overrides = append(parsed.overrides, loader.NewOverride(given.Name, given.Value.String()))
		}
	})
	return parsed, nil
}
