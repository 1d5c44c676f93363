package transmitter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/connector"
	"lagoonlanding.example/lagoonlanding/runtime/timekeeper"
)

// recordingStore records the calls that it gets and returns the same error for all of them.
type recordingStore struct {
	calls []string
	err   error
}

func (recordingstore *recordingStore) record(parts ...string) error {
	recordingstore.calls = append(recordingstore.calls, strings.Join(parts, " "))
	return recordingstore.err
}

func (recordingstore *recordingStore) Get(_ context.Context, key string) (lagoonlanding.Entry, error) {
	return lagoonlanding.NewEntry(key, []byte("value"), 12), recordingstore.record("get", key)
}

func (recordingstore *recordingStore) Commit(_ context.Context, transaction lagoonlanding.Transaction) (uint64, error) {
	parts := []string{"commit"}
	for _, put := range transaction.Puts() {
		parts = append(parts, fmt.Sprint(put.Key(), "=", string(put.Value()), " lease ", put.Lease()))
	}
	for _, precondition := range transaction.Preconditions() {
		parts = append(parts, fmt.Sprint("if ", precondition.Key(), " at ", precondition.Revision()))
	}
	return 13, recordingstore.record(parts...)
}

func (recordingstore *recordingStore) Grant(_ context.Context, term time.Duration) (lagoonlanding.LeaseID, error) {
	return 7, recordingstore.record("grant", term.String())
}

func (recordingstore *recordingStore) KeepAlive(_ context.Context, lease lagoonlanding.LeaseID) error {
	return recordingstore.record("keep", time.Duration(lease).String())
}

// newPeer serves a store as a daemon does, and returns the store as reached through that daemon.
func newPeer(t *testing.T, store lagoonlanding.LeaseStore) lagoonlanding.LeaseStore {
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := httptest.NewServer(NewServer(ServerConfig{Store: store, Clock: timekeeper.BootClock{}, Log: logrus.NewEntry(log)}))
	t.Cleanup(server.Close)
	pool := connector.NewPool(connector.Config{DialTimeout: time.Second, IdleTimeout: time.Second, SilenceTimeout: time.Second, MaxIdle: 2})
	return NewPeers(pool).Store(strings.TrimPrefix(server.URL, "http://"))
}

func TestCallsReachTheStoreThroughADaemon(t *testing.T) {
	store := &recordingStore{}
	peer := newPeer(t, store)
	entry, err := peer.Get(t.Context(), "a/b")
	if err != nil || entry.Key() != "a/b" || string(entry.Value()) != "value" || entry.Revision() != 12 {
		t.Errorf("got %v, %v", entry, err)
	}
	transaction := lagoonlanding.NewTransaction(lagoonlanding.TransactionConfig{
		Puts:          []lagoonlanding.Put{lagoonlanding.NewPut("k1", []byte("v1"), 3), lagoonlanding.NewPut("k2", []byte("v2"), 0)},
		Preconditions: []lagoonlanding.Precondition{lagoonlanding.NewPrecondition("k1", 5), lagoonlanding.NewPrecondition("x", 0)},
	})
	if revision, err := peer.Commit(t.Context(), transaction); revision != 13 || err != nil {
		t.Errorf("got %d, %v", revision, err)
	}
	if lease, err := peer.Grant(t.Context(), 3*time.Second); lease != 7 || err != nil {
		t.Errorf("got %d, %v", lease, err)
	}
	if err := peer.KeepAlive(t.Context(), 9); err != nil {
		t.Error(err)
	}
	want := []string{"get a/b", "commit k1=v1 lease 3 k2=v2 lease 0 if k1 at 5 if x at 0", "grant 3s", "keep 9ns"}
	if diff := cmp.Diff(want, store.calls); diff != "" {
		t.Error(diff)
	}
}

func TestErrorsOfTheStoreAreReturnedThroughADaemon(t *testing.T) {
	for _, want := range []error{
		lagoonlanding.ErrNotFound, lagoonlanding.ErrConflict, lagoonlanding.ErrLeaseEnded, lagoonlanding.ErrUnavailable, lagoonlanding.ErrUnknown,
		lagoonlanding.ErrStoreDisconnected,
	} {
		peer := newPeer(t, &recordingStore{err: want})
		if _, err := peer.Get(t.Context(), "k"); !errors.Is(err, want) {
			t.Errorf("got %v, want %v", err, want)
		}
	}
	peer := newPeer(t, &recordingStore{err: context.DeadlineExceeded})
	if err := peer.KeepAlive(t.Context(), 1); !errors.Is(err, lagoonlanding.ErrUnknown) {
		t.Errorf("got %v for a call with an unknown outcome", err)
	}
}

// TestConflictThroughADaemonNamesTheCurrentEntries covers a write that could not be repeated on top of the newer one for lack of its revision.
func TestConflictThroughADaemonNamesTheCurrentEntries(t *testing.T) {
	current := []lagoonlanding.Entry{lagoonlanding.NewEntry("k", []byte("newer"), 8)}
	peer := newPeer(t, &recordingStore{err: lagoonlanding.NewConflictError(current)})
	_, err := peer.Commit(t.Context(), lagoonlanding.NewTransaction(lagoonlanding.TransactionConfig{}))
	var conflict *lagoonlanding.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got %v", err)
	}
	if entry, ok := conflict.Current("k"); !ok || entry.Revision() != 8 || string(entry.Value()) != "newer" {
		t.Errorf("got %v, %v", entry, ok)
	}
}

func TestCallThroughAnUnreachableDaemonIsUnavailable(t *testing.T) {
	pool := connector.NewPool(connector.Config{DialTimeout: time.Second, IdleTimeout: time.Second, SilenceTimeout: time.Second, MaxIdle: 2})
	if err := NewPeers(pool).Store("127.0.0.1:1").KeepAlive(t.Context(), 1); !errors.Is(err, lagoonlanding.ErrUnavailable) {
		t.Errorf("got %v", err)
	}
}

func FuzzStoreRequest(f *testing.F) {
	f.Add(`{"call":"commit","puts":[],"preconditions":[{"key":7}]}`)
	f.Add(`{"call":"get","key":7}`)
	f.Fuzz(func(t *testing.T, text string) {
		server := NewServer(ServerConfig{Store: &recordingStore{}, Clock: timekeeper.BootClock{}, Log: logrus.NewEntry(logrus.New())})
		server.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", storePath, strings.NewReader(text)))
	})
}
