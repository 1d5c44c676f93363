package receiver

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/storer"
	"lagoonlanding.example/lagoonlanding/runtime/executor"
	"lagoonlanding.example/storestandin/provider"
)

func serve(t *testing.T) (*storer.Client, string) {
	t.Helper()
	store := provider.New(provider.Config{CallsPerSecond: 1000, WritesPerSecond: 1000})
	control := executor.New(executor.Config[*provider.Store]{State: store})
	ctx, cancel := context.WithCancel(context.Background())
	go control.Run(ctx)
	server := httptest.NewServer(New(control).Handler())
	t.Cleanup(server.Close)
	t.Cleanup(cancel)
	return storer.New(storer.Config{URL: server.URL}), server.URL
}

func put(t *testing.T, url, body string) int {
	t.Helper()
	request, _ := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func TestStoreOverHTTP(t *testing.T) {
	store, _ := serve(t)
	if _, err := store.Get(t.Context(), "a/1"); !errors.Is(err, lagoonlanding.ErrNotFound) {
		t.Errorf("absent entry: %v", err)
	}
	value := bytes.Repeat([]byte{0, 255}, provider.MaxValueBytes/2)
	first, err := store.CompareAndSwap(t.Context(), "a/1", 0, value)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.CompareAndSwap(t.Context(), "a/1", 0, value); !errors.Is(err, lagoonlanding.ErrConflict) {
		t.Errorf("second creation: %v", err)
	}
	entry, err := store.Get(t.Context(), "a/1")
	if err != nil || !bytes.Equal(entry.Value(), value) || entry.Revision() != first {
		t.Errorf("got revision %d, %d bytes, %v", entry.Revision(), len(entry.Value()), err)
	}
	if _, err := store.CompareAndSwap(t.Context(), "a/2", 0, append(value, 1)); err == nil {
		t.Error("a value above the maximum size was written")
	}
	listing, err := store.List(t.Context(), "a/")
	if err != nil || len(listing.Entries()) != 1 || listing.Revision() != first {
		t.Errorf("listing at %d with %d entries, %v", listing.Revision(), len(listing.Entries()), err)
	}
}

func TestWatchReturnsOnChange(t *testing.T) {
	store, _ := serve(t)
	got := make(chan lagoonlanding.Listing)
	go func() {
		listing, _ := store.Watch(context.Background(), "a/", 0)
		got <- listing
	}()
	_, _ = store.CompareAndSwap(t.Context(), "b/1", 0, nil)
	_, _ = store.CompareAndSwap(t.Context(), "a/1", 0, nil)
	if listing := <-got; len(listing.Entries()) != 1 || listing.Revision() != 2 {
		t.Errorf("got %v", listing)
	}
}

func TestFaults(t *testing.T) {
	store, url := serve(t)
	put(t, url+"/switches", `{"lost-answers":1}`)
	if _, err := store.CompareAndSwap(t.Context(), "a", 0, []byte("1")); !errors.Is(err, lagoonlanding.ErrUnknown) {
		t.Errorf("lost reply: %v", err)
	}
	if _, err := store.Get(t.Context(), "a"); err != nil {
		t.Errorf("the write whose reply was lost: %v", err)
	}
	put(t, url+"/switches", `{"down":true}`)
	if _, err := store.Watch(t.Context(), "b", 0); !errors.Is(err, lagoonlanding.ErrUnavailable) {
		t.Errorf("watch while down: %v", err)
	}
	put(t, url+"/switches", `{"silent":true}`)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := store.Get(ctx, "a"); err == nil {
		t.Error("a silent store replied")
	}
	if code := put(t, url+"/switches", `{"unknown":true}`); code != http.StatusBadRequest {
		t.Errorf("unknown fault: status %d", code)
	}
}
