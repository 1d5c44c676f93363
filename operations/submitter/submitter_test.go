package submitter

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
	"lagoonlanding.example/lagoonlanding/adapters/storer"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// instantClock ends every wait at once.
type instantClock struct{}

func (instantclock instantClock) Now() time.Time { return time.Unix(1, 0) }

func (instantclock instantClock) Until(time.Time) <-chan time.Time {
	elapsed := make(chan time.Time, 1)
	elapsed <- time.Unix(1, 0)
	return elapsed
}

// unreliableStore fails calls at random, before or after they take effect, and records every published set.
type unreliableStore struct {
	lagoonlanding.Store
	mutex   sync.Mutex
	random  *rand.Rand
	written []*publisher.Set
}

func (unreliablestore *unreliableStore) roll() int {
	unreliablestore.mutex.Lock()
	defer unreliablestore.mutex.Unlock()
	return unreliablestore.random.Intn(10)
}

func (unreliablestore *unreliableStore) Get(ctx context.Context, key string) (lagoonlanding.Entry, error) {
	if unreliablestore.roll() == 0 {
		return lagoonlanding.Entry{}, lagoonlanding.ErrUnavailable
	}
	return unreliablestore.Store.Get(ctx, key)
}

func (unreliablestore *unreliableStore) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	roll := unreliablestore.roll()
	switch roll {
	case 0:
		return 0, lagoonlanding.ErrUnavailable
	case 1:
		return 0, lagoonlanding.ErrUnknown
	}
	unreliablestore.mutex.Lock()
	defer unreliablestore.mutex.Unlock()
	revision, err := unreliablestore.Store.CompareAndSwap(ctx, key, expected, value)
	if err == nil && key == lagoonlanding.SetKey {
		set, err := encoder.Sets{}.Decode(lagoonlanding.NewEntry(key, value, revision))
		if err != nil {
			return 0, err
		}
		unreliablestore.written = append(unreliablestore.written, set)
	}
	if err == nil && roll < 4 {
		return 0, lagoonlanding.ErrUnknown
	}
	return revision, err
}

func candidate(id string) *publisher.Set {
	return publisher.NewSet(publisher.SetConfig{
		HomeRegions: []publisher.HomeRegion{publisher.NewHomeRegion(publisher.HomeRegionConfig{Name: id})},
		Publication: publisher.NewPublication(publisher.PublicationConfig{ID: id}),
	})
}

// TestConcurrentOperatorsGetTrueResults checks that the result of each submission is true even if replies are lost and the store
// fails.
func TestConcurrentOperatorsGetTrueResults(t *testing.T) {
	for seed := range int64(30) {
		store := &unreliableStore{Store: storer.NewMemory(), random: rand.New(rand.NewSource(seed))}
		results := sync.Map{}
		var operators sync.WaitGroup
		for operator := range 4 {
			operators.Go(func() { publishRepeatedly(store, operator, &results) })
		}
		operators.Wait()
		requireTrueResults(t, seed, store.written, &results)
	}
}

func publishRepeatedly(store lagoonlanding.Store, operator int, results *sync.Map) {
	submitter := New(Config{Store: store, Sets: encoder.Sets{}, Clock: instantClock{}})
	for i := range 6 {
		storedset, err := submitter.Read(context.Background())
		if err != nil {
			continue
		}
		id := fmt.Sprintf("operator-%d-%d", operator, i)
		results.Store(id, submitter.Submit(context.Background(), storedset, candidate(id)))
	}
}

func requireTrueResults(t *testing.T, seed int64, written []*publisher.Set, results *sync.Map) {
	t.Helper()
	inForce := map[string]bool{}
	for i, set := range written {
		id := set.Publication().ID()
		if set.Version() != uint64(i+1) || inForce[id] || set.HomeRegions()[0].Name() != id {
			t.Fatalf("seed %d: write %d is version %d of %s", seed, i, set.Version(), id)
		}
		inForce[id] = true
	}
	results.Range(func(key, value any) bool {
		submission := value.(Submission)
		reported := submission.Result()
		if reported == Uncertain || (reported == Written) != inForce[key.(string)] {
			t.Errorf("seed %d: the result of %s is %v, in force: %v (%v)", seed, key, reported, inForce[key.(string)], submission.Err())
		}
		return true
	})
}

func TestSubmitWhileStoreIsDown(t *testing.T) {
	memory := storer.NewMemory()
	submitter := New(Config{Store: memory, Sets: encoder.Sets{}, Clock: instantClock{}})
	memory.SetDown(true)
	submission := submitter.Submit(t.Context(), StoredSet{}, candidate("one"))
	if submission.Result() != NotWritten || !errors.Is(submission.Err(), lagoonlanding.ErrUnavailable) {
		t.Errorf("got %v, %v", submission.Result(), submission.Err())
	}
}

func TestSubmitWithEveryReplyLost(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	store := &replyLosingStore{Store: storer.NewMemory(), cancel: cancel}
	submitter := New(Config{Store: store, Sets: encoder.Sets{}, Clock: instantClock{}})
	submission := submitter.Submit(ctx, StoredSet{}, candidate("one"))
	if submission.Result() != Uncertain {
		t.Errorf("got %v, %v", submission.Result(), submission.Err())
	}
}

// replyLosingStore loses the reply to every write, and the operator cancels the request at the third.
type replyLosingStore struct {
	lagoonlanding.Store
	attempts int
	cancel   func()
}

func (replylosingstore *replyLosingStore) CompareAndSwap(context.Context, string, uint64, []byte) (uint64, error) {
	replylosingstore.attempts++
	if replylosingstore.attempts == 3 {
		replylosingstore.cancel()
	}
	return 0, lagoonlanding.ErrUnknown
}

func TestHistoryKeepsTheLatestSets(t *testing.T) {
	submitter := New(Config{Store: storer.NewMemory(), Sets: encoder.Sets{}, Clock: instantClock{}})
	for i := range HistoryLength + 5 {
		storedset, err := submitter.Read(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if submission := submitter.Submit(t.Context(), storedset, candidate(fmt.Sprint(i))); submission.Result() != Written {
			t.Fatal(submission.Err())
		}
	}
	sets, err := submitter.History(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(sets) != HistoryLength || sets[0].Version() != HistoryLength+5 || sets[HistoryLength-1].Version() != 6 {
		t.Errorf("%d sets from %d to %d", len(sets), sets[0].Version(), sets[len(sets)-1].Version())
	}
}
