package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"lagoonlanding.example/lagoonctl/caller"
	"lagoonlanding.example/lagoonctl/printer"
)

const (
	// defaultAdminURL is the administration address of a daemon on the local host.
	defaultAdminURL = "http://127.0.0.1:7004"
	// envPrefix is the prefix of the environment variables that set flags, such as LAGOONCTL_ADMIN_URL.
	envPrefix = "LAGOONCTL"
	// defaultWait is how long publish and zone wait for a set to be in force everywhere.
	defaultWait = 15 * time.Second
)

const longHelp = `Publishes the set of objects, takes zones out and back, and shows who owns what.

Each flag can be given as an environment variable, such as LAGOONCTL_ADMIN_URL or LAGOONCTL_KEY_FILE.

EXAMPLES
  lagoonctl check set/                            every fault with file, line, object and field
  lagoonctl plan set/                             what publishing would change, move and endanger
  lagoonctl publish -base 7 -note "bays" set/     replaces set 7 and waits until it is in force
  lagoonctl zone out -accept low-capacity piraeus takes a zone out in spite of the named danger
  lagoonctl status -output json                   for programs

EXIT CODES
  0 done            3 dangers not accepted, nothing written     5 written, not yet in force everywhere
  1 failed          4 another set came first, nothing written   6 answers lost, may be written
  2 set has faults`

// options holds the flags that most commands share.
type options struct {
	adminURL string
	keyFile  string
	output   string
	stdout   io.Writer
}

func (options *options) register(flags *flag.FlagSet) {
	flags.StringVar(&options.adminURL, "admin-url", defaultAdminURL, "administration address of a daemon")
	flags.StringVar(&options.keyFile, "key-file", "", "file with the operator's key")
	options.registerOutput(flags)
}

func (options *options) registerOutput(flags *flag.FlagSet) {
	flags.StringVar(&options.output, "output", printer.Table, "table or json")
}

func (options *options) caller() (*caller.Caller, error) {
	return caller.New(caller.Config{URL: options.adminURL, KeyFile: options.keyFile})
}

func (options *options) printer() (*printer.Printer, error) {
	return printer.New(printer.Config{Format: options.output, Writer: options.stdout})
}

// Run executes one command and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	options := &options{stdout: stdout}
	flags := flag.NewFlagSet("lagoonctl", flag.ContinueOnError)
	root := &ffcli.Command{
		Name: "lagoonctl", ShortUsage: "lagoonctl <command> [flags] [arguments]", LongHelp: longHelp, FlagSet: flags,
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
		Subcommands: commands(options),
	}
	for _, command := range root.Subcommands {
		prepare(command, stderr)
	}
	flags.SetOutput(stderr)
	err := root.ParseAndRun(ctx, args)
	if errors.Is(err, flag.ErrHelp) {
		return ExitDone
	}
	if err != nil && err.Error() != "" {
		_, _ = fmt.Fprintln(stderr, "lagoonctl:", err)
	}
	return exitCode(err)
}

// prepare makes a command and its subcommands write usage errors to stderr and read flags from the environment.
func prepare(command *ffcli.Command, stderr io.Writer) {
	if command.FlagSet == nil {
		command.FlagSet = flag.NewFlagSet(command.Name, flag.ContinueOnError)
	}
	command.FlagSet.SetOutput(stderr)
	command.Options = []ff.Option{ff.WithEnvVarPrefix(envPrefix)}
	for _, subcommand := range command.Subcommands {
		prepare(subcommand, stderr)
	}
}

func newFlags(name string) *flag.FlagSet { return flag.NewFlagSet(name, flag.ContinueOnError) }

// singleArgument returns the only argument, or an error if there is not exactly one.
func singleArgument(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", fmt.Errorf("one argument is needed: %s", what)
	}
	return args[0], nil
}

// withPath returns the Exec function of a command whose only argument is the path of a file or folder.
func withPath(run func(ctx context.Context, path string) error) func(ctx context.Context, args []string) error {
	return func(ctx context.Context, args []string) error {
		path, err := singleArgument(args, "a file or folder")
		if err != nil {
			return err
		}
		return run(ctx, path)
	}
}

func currentUser() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return os.Getenv("USER")
}
