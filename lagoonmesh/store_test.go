package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding/adapters/keeper"
)

// platformStore speaks the form of the platform's store over the entries of a keeper.Table.
type platformStore struct {
	mutex  sync.Mutex
	table  *keeper.Table
	leases map[int64]time.Time
	held   map[string]int64
	down   bool
	calls  int
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Removed  bool   `json:"removed,omitempty"`
}

func newPlatformStore(t *testing.T) (*platformStore, string) {
	store := &platformStore{table: keeper.NewTable(), leases: map[int64]time.Time{}, held: map[string]int64{}}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return store, server.Listener.Addr().String()
}

func (store *platformStore) put(t *testing.T, key, value string) {
	t.Helper()
	store.mutex.Lock()
	defer store.mutex.Unlock()
	entry, _ := store.table.Get(key)
	if _, err := store.table.Swap(key, entry.Revision(), []byte(value)); err != nil {
		t.Fatal(err)
	}
}

func (store *platformStore) remove(key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.table.Delete(key)
}

func (store *platformStore) setDown(down bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.down = down
}

// expire removes the entries of leases that have run out.
func (store *platformStore) expire() {
	for key, lease := range store.held {
		if time.Now().After(store.leases[lease]) {
			store.table.Delete(key)
			delete(store.held, key)
		}
	}
}

func (store *platformStore) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/kv-watch" {
		store.watch(writer, request)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.calls++
	if store.down {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	store.expire()
	status, answer := store.answer(request)
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(answer)
}

func (store *platformStore) answer(request *http.Request) (int, any) {
	switch {
	case request.URL.Path == "/kv-range":
		var items []storeItem
		for _, entry := range store.table.List(request.URL.Query().Get("prefix")).Entries() {
			items = append(items, storeItem{Key: entry.Key(), Value: entry.Value(), Revision: entry.Revision()})
		}
		return 200, map[string]any{"items": items, "storeRevision": store.table.Revision()}
	case request.URL.Path == "/kv-lease":
		store.leases[int64(len(store.leases)+1)] = time.Now().Add(3 * time.Second)
		return 200, map[string]any{"lease": len(store.leases), "ttlS": 3}
	case strings.HasPrefix(request.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(request.URL.Path, "/kv-keep/"), 10, 64)
		if time.Now().After(store.leases[id]) {
			return 404, nil
		}
		store.leases[id] = time.Now().Add(3 * time.Second)
		return 200, map[string]any{"ttlS": 3}
	case request.URL.Path == "/kv-txn":
		return store.transact(request)
	}
	return 404, nil
}

func (store *platformStore) transact(request *http.Request) (int, any) {
	var body struct {
		Expected []storeItem `json:"expected"`
		Puts     []struct {
			storeItem
			Lease int64 `json:"lease"`
		} `json:"puts"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		return 400, nil
	}
	for _, expected := range body.Expected {
		if entry, _ := store.table.Get(expected.Key); entry.Revision() != expected.Revision {
			return 412, nil
		}
	}
	for _, put := range body.Puts {
		if put.Lease != 0 && time.Now().After(store.leases[put.Lease]) {
			return 404, nil
		}
		entry, _ := store.table.Get(put.Key)
		if _, err := store.table.Swap(put.Key, entry.Revision(), put.Value); err != nil {
			return 500, nil
		}
		if put.Lease != 0 {
			store.held[put.Key] = put.Lease
		}
	}
	return 200, map[string]any{"revision": store.table.Revision()}
}

func (store *platformStore) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	for range 2000 {
		store.mutex.Lock()
		store.expire()
		listing := store.table.Newer(query.Get("prefix"), after)
		isDown := store.down
		store.mutex.Unlock()
		if isDown {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(listing.Entries()) > 0 {
			var events []storeItem
			for _, entry := range listing.Entries() {
				events = append(events, storeItem{Key: entry.Key(), Value: entry.Value(), Revision: entry.Revision(), Removed: entry.Value() == nil})
			}
			_ = json.NewEncoder(writer).Encode(map[string]any{"events": events, "storeRevision": listing.Revision()})
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
	fmt.Fprintf(writer, `{"events":[],"storeRevision":%d}`, after)
}
