package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding/runtime/executor"
	"lagoonlanding.example/upstreamstandin/announcer"
	"lagoonlanding.example/upstreamstandin/receiver"
	"lagoonlanding.example/upstreamstandin/simulator"
)

const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 10 * time.Second
	crashExitStatus = 3
)

func main() {
	log := logrus.WithField("part", "upstream-stand-in")
	if err := run(os.Args[1:], log); err != nil {
		log.Errorf("Stopped: %v.", err)
		os.Exit(1)
	}
}

func run(args []string, log *logrus.Entry) error {
	settings, err := parse(args)
	if err != nil {
		return err
	}
	runLog, err := openRunLog(settings.runsFile)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	state := executor.New(executor.Config[*simulator.Server]{State: simulator.New(settings.simulator)})
	go state.Run(context.Background())
	server := &http.Server{Addr: settings.address, Handler: receiver.New(receiver.Config{
		Executor: state, Name: settings.name, Region: settings.region, Runs: runLog, Crash: crashFunc(settings.crashOnMark, log),
	}).Handler(), ReadHeaderTimeout: headerTimeout}
	go announcer.New(announcer.Config{
		Daemon: settings.daemon, Service: settings.service, Address: settings.address, Slots: settings.simulator.Slots,
	}).Run(ctx)
	serveError := make(chan error, 1)
	go func() { serveError <- server.ListenAndServe() }()
	log.Infof("Listening on %s.", settings.address)
	select {
	case err := <-serveError:
		return fmt.Errorf("serve on %s: %w", settings.address, err)
	case <-ctx.Done():
	}
	return drain(server, state, log)
}

// drain refuses new requests and waits for the running ones to finish.
func drain(server *http.Server, state *executor.Executor[*simulator.Server], log *logrus.Entry) error {
	state.Do(func(server *simulator.Server) { server.SetDraining(true) })
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	log.Info("Stopped.")
	return nil
}

func openRunLog(path string) (io.Writer, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Join(errors.New("open the run log"), err)
	}
	return file, nil
}

func crashFunc(enabled bool, log *logrus.Entry) func() {
	if !enabled {
		return nil
	}
	return func() {
		log.Error("Exiting to simulate a crash: a request has the Standin-Crash header.")
		os.Exit(crashExitStatus)
	}
}
