package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"lagoonlanding.example/lagoonctl/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := commander.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
