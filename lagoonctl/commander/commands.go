package commander

import "github.com/peterbourgon/ff/v3/ffcli"

func commands(options *options) []*ffcli.Command {
	return []*ffcli.Command{
		checkCommand(options),
		planCommand(options),
		publishCommand(options),
	}
}
