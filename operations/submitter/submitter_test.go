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

// hastyClock lets every wait end at once.
type hastyClock struct{}

func (hastyclock hastyClock) Now() time.Time { return time.Unix(1, 0) }

func (hastyclock hastyClock) Until(time.Time) <-chan time.Time {
	passed := make(chan time.Time, 1)
	passed <- time.Unix(1, 0)
	return passed
}

// flakyStore fails calls at random, before or after they take effect, and remembers every published set.
type flakyStore struct {
	lagoonlanding.Store
	mutex   sync.Mutex
	random  *rand.Rand
	written []*publisher.Set
}

func (flakystore *flakyStore) fate() int {
	flakystore.mutex.Lock()
	defer flakystore.mutex.Unlock()
	return flakystore.random.Intn(10)
}

func (flakystore *flakyStore) Get(ctx context.Context, key string) (lagoonlanding.Entry, error) {
	if flakystore.fate() == 0 {
		return lagoonlanding.Entry{}, lagoonlanding.ErrUnavailable
	}
	return flakystore.Store.Get(ctx, key)
}

func (flakystore *flakyStore) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	fate := flakystore.fate()
	switch fate {
	case 0:
		return 0, lagoonlanding.ErrUnavailable
	case 1:
		return 0, lagoonlanding.ErrUnknown
	}
	flakystore.mutex.Lock()
	defer flakystore.mutex.Unlock()
	revision, err := flakystore.Store.CompareAndSwap(ctx, key, expected, value)
	if err == nil && key == lagoonlanding.SetKey {
		set, err := encoder.Sets{}.Decode(lagoonlanding.NewEntry(key, value, revision))
		if err != nil {
			return 0, err
		}
		flakystore.written = append(flakystore.written, set)
	}
	if err == nil && fate < 4 {
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

// TestRacingOperators checks that what each operator is told is true, though answers are lost and the store fails.
func TestRacingOperators(t *testing.T) {
	for seed := range int64(30) {
		store := &flakyStore{Store: storer.NewMemory(), random: rand.New(rand.NewSource(seed))}
		results := sync.Map{}
		var operators sync.WaitGroup
		for operator := range 4 {
			operators.Go(func() { publishOften(store, operator, &results) })
		}
		operators.Wait()
		requireTruth(t, seed, store.written, &results)
	}
}

func publishOften(store lagoonlanding.Store, operator int, results *sync.Map) {
	submitter := New(Config{Store: store, Sets: encoder.Sets{}, Clock: hastyClock{}})
	for i := range 6 {
		held, err := submitter.Read(context.Background())
		if err != nil {
			continue
		}
		id := fmt.Sprintf("operator-%d-%d", operator, i)
		results.Store(id, submitter.Submit(context.Background(), held, candidate(id)))
	}
}

func requireTruth(t *testing.T, seed int64, written []*publisher.Set, results *sync.Map) {
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
		told := submission.Result()
		if told == Uncertain || (told == Written) != inForce[key.(string)] {
			t.Errorf("seed %d: %s was told %v, in force: %v (%v)", seed, key, told, inForce[key.(string)], submission.Err())
		}
		return true
	})
}

func TestSubmitWhileStoreIsDown(t *testing.T) {
	memory := storer.NewMemory()
	submitter := New(Config{Store: memory, Sets: encoder.Sets{}, Clock: hastyClock{}})
	memory.SetDown(true)
	submission := submitter.Submit(t.Context(), Held{}, candidate("one"))
	if submission.Result() != NotWritten || !errors.Is(submission.Err(), lagoonlanding.ErrUnavailable) {
		t.Errorf("got %v, %v", submission.Result(), submission.Err())
	}
}

func TestSubmitLosesEveryAnswer(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	store := &losingStore{Store: storer.NewMemory(), cancel: cancel}
	submitter := New(Config{Store: store, Sets: encoder.Sets{}, Clock: hastyClock{}})
	submission := submitter.Submit(ctx, Held{}, candidate("one"))
	if submission.Result() != Uncertain {
		t.Errorf("got %v, %v", submission.Result(), submission.Err())
	}
}

// losingStore loses every answer to a write until the operator gives up.
type losingStore struct {
	lagoonlanding.Store
	tries  int
	cancel func()
}

func (losingstore *losingStore) CompareAndSwap(context.Context, string, uint64, []byte) (uint64, error) {
	losingstore.tries++
	if losingstore.tries == 3 {
		losingstore.cancel()
	}
	return 0, lagoonlanding.ErrUnknown
}

func TestHistoryKeepsTheLastSets(t *testing.T) {
	submitter := New(Config{Store: storer.NewMemory(), Sets: encoder.Sets{}, Clock: hastyClock{}})
	for i := range HistoryLength + 5 {
		held, err := submitter.Read(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if submission := submitter.Submit(t.Context(), held, candidate(fmt.Sprint(i))); submission.Result() != Written {
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
