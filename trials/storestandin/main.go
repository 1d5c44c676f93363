package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding/runtime/executor"
	"lagoonlanding.example/storestandin/provider"
	"lagoonlanding.example/storestandin/receiver"
)

const headerTimeout = 5 * time.Second

func main() {
	log := logrus.WithField("part", "store-stand-in")
	if err := run(os.Args[1:], log); err != nil {
		log.Errorf("Stopped: %v.", err)
		os.Exit(1)
	}
}

func run(args []string, log *logrus.Entry) error {
	flags := flag.NewFlagSet("storestandin", flag.ContinueOnError)
	address := flags.String("address", "127.0.0.1:2400", "host and port to listen on")
	calls := flags.Int("calls-per-second", 2500, "rate limit for all calls")
	writes := flags.Int("writes-per-second", 400, "rate limit for writes")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("STORESTANDIN")); err != nil {
		return fmt.Errorf("parse flags: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	control := executor.New(executor.Config[*provider.Store]{
		State: provider.New(provider.Config{CallsPerSecond: *calls, WritesPerSecond: *writes}),
		Wake:  func(store *provider.Store, now time.Time) time.Time { return store.Expire(now) },
	})
	go control.Run(ctx)
	server := &http.Server{Addr: *address, Handler: receiver.New(control).Handler(), ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	log.Infof("Listening on %s.", *address)
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", *address, err)
	}
	log.Info("Stopped.")
	return nil
}
