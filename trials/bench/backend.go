package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/invoker"
)

const (
	// slots is the number of concurrent requests of the backend server, which responds without delay.
	slots = 64
	// announceInterval is the time between two announcements.
	announceInterval = 200 * time.Millisecond
	// responseSize is the length of each response body in bytes.
	responseSize = 256
)

// serveBackend responds to each request without delay until ctx is done.
func serveBackend(ctx context.Context, address, daemon string) error {
	response := bytes.Repeat([]byte("x"), responseSize)
	mux := http.NewServeMux()
	mux.HandleFunc(invoker.ReportPath, func(writer http.ResponseWriter, _ *http.Request) {
		report, _ := invoker.EncodeReport(lagoonlanding.NewUpstreamReport(true, 0, slots))
		_, _ = writer.Write(report)
	})
	mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		writer.Header().Set(invoker.HeaderRequestID, request.Header.Get(invoker.HeaderRequestID))
		_, _ = writer.Write(response)
	})
	server := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go announce(ctx, address, daemon)
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve as a backend server at %s: %w", address, err)
	}
	return nil
}

// announce repeats the announcement of the backend server until the daemon accepts it.
func announce(ctx context.Context, address, daemon string) {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"slots":%d}`, serviceName, address, slots)
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		posted, err := http.Post("http://"+daemon+"/upstream", "application/json", bytes.NewBufferString(body))
		if err == nil {
			_ = posted.Body.Close()
		}
		if err == nil && posted.StatusCode == http.StatusNoContent {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
