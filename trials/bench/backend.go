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
	// slots is how many requests the backend server runs at once; it takes no time for any.
	slots = 64
	// announceInterval is the time between two announcements.
	announceInterval = 200 * time.Millisecond
	// answerSize is the length of every answer.
	answerSize = 256
)

// serveBackend answers every request at once until ctx ends.
func serveBackend(ctx context.Context, address, daemon string) error {
	answer := bytes.Repeat([]byte("x"), answerSize)
	mux := http.NewServeMux()
	mux.HandleFunc(invoker.ReportPath, func(writer http.ResponseWriter, _ *http.Request) {
		report, _ := invoker.EncodeReport(lagoonlanding.NewUpstreamReport(true, 0, slots))
		_, _ = writer.Write(report)
	})
	mux.HandleFunc("/", func(writer http.ResponseWriter, message *http.Request) {
		_, _ = io.Copy(io.Discard, message.Body)
		writer.Header().Set(invoker.HeaderRequestID, message.Header.Get(invoker.HeaderRequestID))
		_, _ = writer.Write(answer)
	})
	server := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go announce(ctx, address, daemon)
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve as a backend server at %s: %w", address, err)
	}
	return nil
}

func announce(ctx context.Context, address, daemon string) {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"slots":%d}`, serviceName, address, slots)
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		response, err := http.Post("http://"+daemon+"/upstream", "application/json", bytes.NewBufferString(body))
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusNoContent {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
