package connector

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// serveUntilSilent answers requests, but none on a connection that was accepted before the last change of the epoch.
func serveUntilSilent(t *testing.T, epoch *atomic.Int64) string {
	return serve(t, func(connection net.Conn, reader *bufio.Reader) {
		accepted := epoch.Load()
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if epoch.Load() != accepted {
				continue
			}
			// Overlapping requests get a connection each.
			time.Sleep(50 * time.Millisecond)
			io.WriteString(connection, okResponse)
		}
	})
}

// exchange makes one request with a deadline and reads the response.
func exchange(t *testing.T, pool *Pool, address string) error {
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	task := lagoonlanding.NewTask(lagoonlanding.TaskConfig{ID: "1", Method: "GET", Host: "h", Target: "/", Header: http.Header{}})
	response, err := pool.Exchange(ctx, address, NewRequest(address, task))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err
}

func TestOneSilentConnectionDiscardsTheIdleOnesOfItsAddress(t *testing.T) {
	var epoch, silent atomic.Int64
	address := serveUntilSilent(t, &epoch)
	pool := NewPool(Config{
		DialTimeout: time.Second, IdleTimeout: time.Minute, SilenceTimeout: 3 * time.Second, MaxIdle: 4, RespondsPromptly: true,
		OnSilence: func(string, time.Time) { silent.Add(1) },
	})
	var calls sync.WaitGroup
	for range 4 {
		calls.Go(func() {
			if err := exchange(t, pool, address); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	epoch.Add(1)
	if err := exchange(t, pool, address); err == nil {
		t.Fatal("a silent connection answered")
	}
	for range 4 {
		if err := exchange(t, pool, address); err != nil {
			t.Errorf("a call was sent on an idle connection that is as silent as the last one: %v", err)
		}
	}
	if silent.Load() != 1 {
		t.Errorf("%d connections were reported as silent, want 1", silent.Load())
	}
}
