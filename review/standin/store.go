package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems is the number of items of a page.
	pageItems = 500
	// maxWatchTime bounds a watch.
	maxWatchTime = 30 * time.Second
	// leaseCheckInterval is the time between two checks for ended leases.
	leaseCheckInterval = 10 * time.Millisecond
)

// storeItem is an item of the store, or the removal of one.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// storeLease is a lease with its term.
type storeLease struct {
	term      time.Duration
	expiresAt time.Time
}

// storeWrite is a conditional write.
type storeWrite struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

// store is a stand-in for the platform's metadata store; it is linearizable and keeps its whole history.
type store struct {
	recorder *recorder

	mutex     sync.Mutex
	items     map[string]storeItem
	history   []storeItem
	revision  uint64
	leases    map[int64]storeLease
	lastLease int64
	changed   chan struct{}
	writes    int
	// postpone returns for how long a write is postponed whose answer is lost; zero means that the write is done and answered.
	postpone func(write storeWrite) time.Duration
}

func newStore(recorder *recorder) *store {
	created := &store{
		recorder: recorder, items: map[string]storeItem{}, leases: map[int64]storeLease{}, revision: 1, changed: make(chan struct{}),
	}
	go created.endLeases()
	return created
}

// endLeases removes the items of leases that have ended.
func (store *store) endLeases() {
	for range time.Tick(leaseCheckInterval) {
		store.mutex.Lock()
		for id, lease := range store.leases {
			if time.Now().After(lease.expiresAt) {
				store.endLease(id)
			}
		}
		store.mutex.Unlock()
	}
}

// endLease ends a lease; the mutex must be locked.
func (store *store) endLease(id int64) {
	delete(store.leases, id)
	for key, item := range store.items {
		if item.Lease == id {
			store.recorder.log("store: lease %d has ended, %s is removed", id, key)
			store.revision++
			store.remove(key)
		}
	}
}

// put writes an item unconditionally, as the operator does.
func (store *store) put(key, value string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	store.set(key, []byte(value), 0)
}

// setPostpone sets the function that decides which writes are postponed.
func (store *store) setPostpone(postpone func(write storeWrite) time.Duration) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.postpone = postpone
}

func (store *store) set(key string, value []byte, lease int64) {
	item := storeItem{Key: key, Value: value, Revision: store.revision, Created: store.revision, Lease: lease}
	if known, ok := store.items[key]; ok {
		item.Created = known.Created
	}
	store.items[key] = item
	store.append(item)
}

func (store *store) remove(key string) {
	if _, ok := store.items[key]; !ok {
		return
	}
	delete(store.items, key)
	store.append(storeItem{Key: key, Revision: store.revision, Removed: true})
}

func (store *store) append(item storeItem) {
	store.history = append(store.history, item)
	close(store.changed)
	store.changed = make(chan struct{})
}

// ServeHTTP handles a call.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	switch {
	case request.URL.Path == "/kv-key":
		store.mutex.Lock()
		item, ok := store.items[query.Get("key")]
		store.mutex.Unlock()
		if !ok {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		respond(writer, http.StatusOK, item)
	case request.URL.Path == "/kv-range":
		store.serveRange(writer, query.Get("prefix"), query.Get("after"))
	case request.URL.Path == "/kv-watch":
		store.serveWatch(writer, request)
	case request.URL.Path == "/kv-txn":
		store.serveWrite(writer, request)
	case request.URL.Path == "/kv-lease":
		store.serveGrant(writer, request)
	case strings.HasPrefix(request.URL.Path, "/kv-keep/"):
		store.serveLease(writer, strings.TrimPrefix(request.URL.Path, "/kv-keep/"), false)
	case strings.HasPrefix(request.URL.Path, "/kv-lease-end/"):
		store.serveLease(writer, strings.TrimPrefix(request.URL.Path, "/kv-lease-end/"), true)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func respond(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// On failure the daemon has disconnected.
	_ = json.NewEncoder(writer).Encode(body)
}

func (store *store) serveRange(writer http.ResponseWriter, prefix, after string) {
	store.mutex.Lock()
	items := []storeItem{}
	for key, item := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	revision := store.revision
	store.mutex.Unlock()
	slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(items) > pageItems
	respond(writer, http.StatusOK, map[string]any{"items": items[:min(len(items), pageItems)], "hasMore": hasMore, "storeRevision": revision})
}

func (store *store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(min(time.Duration(waitMS)*time.Millisecond, maxWatchTime))
	for {
		store.mutex.Lock()
		events := []storeItem{}
		for _, item := range store.history {
			if item.Revision > after && strings.HasPrefix(item.Key, query.Get("prefix")) {
				events = append(events, item)
			}
		}
		revision, changed := store.revision, store.changed
		store.mutex.Unlock()
		isOver := len(events) > 0
		if !isOver {
			select {
			case <-request.Context().Done():
				return
			case <-timeout:
				isOver = true
			case <-changed:
			}
		}
		if isOver {
			respond(writer, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
	}
}

func (store *store) serveWrite(writer http.ResponseWriter, request *http.Request) {
	var write storeWrite
	if err := json.NewDecoder(request.Body).Decode(&write); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	store.writes++
	postponed := time.Duration(0)
	if store.postpone != nil {
		postponed = store.postpone(write)
	}
	if postponed > 0 {
		store.mutex.Unlock()
		time.AfterFunc(postponed, func() {
			store.mutex.Lock()
			defer store.mutex.Unlock()
			status, _ := store.write(write)
			store.recorder.note("store: does the postponed write of %s: status %d, revision %d", keysOf(write), status, store.revision)
		})
		panic(http.ErrAbortHandler)
	}
	status, response := store.write(write)
	store.recorder.log("store: write of %s: status %d, revision %d", keysOf(write), status, store.revision)
	store.mutex.Unlock()
	respond(writer, status, response)
}

// keysOf returns the keys that a write changes.
func keysOf(write storeWrite) string {
	var keys []string
	for _, put := range write.Puts {
		keys = append(keys, put.Key)
	}
	return strings.Join(append(keys, write.Deletes...), " ")
}

// write does a write if its condition holds; the mutex must be locked.
func (store *store) write(write storeWrite) (int, any) {
	isExpected, current := true, []storeItem{}
	for _, expected := range write.Expected {
		item, ok := store.items[expected.Key]
		isExpected = isExpected && item.Revision == expected.Revision
		if ok {
			current = append(current, item)
		}
	}
	if !isExpected {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, put := range write.Puts {
		if _, ok := store.leases[put.Lease]; put.Lease != 0 && !ok {
			return http.StatusNotFound, map[string]any{}
		}
	}
	store.revision++
	for _, put := range write.Puts {
		store.set(put.Key, put.Value, put.Lease)
	}
	for _, key := range write.Deletes {
		store.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": store.revision}
}

func (store *store) serveGrant(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		TermS float64 `json:"ttlS"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil || body.TermS < 1 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.lastLease++
	term := time.Duration(body.TermS * float64(time.Second))
	store.leases[store.lastLease] = storeLease{term: term, expiresAt: time.Now().Add(term)}
	respond(writer, http.StatusOK, map[string]any{"lease": store.lastLease, "ttlS": body.TermS})
}

// serveLease renews or ends a lease.
func (store *store) serveLease(writer http.ResponseWriter, text string, ends bool) {
	id, err := strconv.ParseInt(text, 10, 64)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	lease, ok := store.leases[id]
	switch {
	case err != nil || !ok:
		writer.WriteHeader(http.StatusNotFound)
		return
	case ends:
		store.endLease(id)
	default:
		store.leases[id] = storeLease{term: lease.term, expiresAt: time.Now().Add(lease.term)}
	}
	respond(writer, http.StatusOK, map[string]any{"ttlS": lease.term.Seconds()})
}
