package storer

import (
	"context"
	"sync"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/keeper"
)

// Memory is a store within this process, for tests; it is down, or loses answers, when it is told to.
type Memory struct {
	mutex   sync.Mutex
	table   *keeper.Table
	changed chan struct{}
	down    bool
	lost    int
	calls   int
	writes  int
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{table: keeper.NewTable(), changed: make(chan struct{})}
}

// SetDown makes all calls fail with ErrUnavailable, waiting watches included, until it is set back.
func (memory *Memory) SetDown(down bool) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.down = down
	memory.wake()
}

// LoseAnswers makes the next writes that take effect fail with ErrUnknown.
func (memory *Memory) LoseAnswers(writes int) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.lost = writes
}

// Calls returns how many calls the store has got, watches included.
func (memory *Memory) Calls() int {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	return memory.calls
}

// Writes returns how many writes have taken effect.
func (memory *Memory) Writes() int {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	return memory.writes
}

// Get reads one entry and fails with ErrNotFound if there is none.
func (memory *Memory) Get(_ context.Context, key string) (lagoonlanding.Entry, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if err := memory.admit(); err != nil {
		return lagoonlanding.Entry{}, err
	}
	return memory.table.Get(key)
}

// List reads all entries under a prefix.
func (memory *Memory) List(_ context.Context, prefix string) (lagoonlanding.Listing, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if err := memory.admit(); err != nil {
		return lagoonlanding.Listing{}, err
	}
	return memory.table.List(prefix), nil
}

// CompareAndSwap writes the value if the entry still has the expected revision and returns the new revision.
func (memory *Memory) CompareAndSwap(_ context.Context, key string, expected uint64, value []byte) (uint64, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if err := memory.admit(); err != nil {
		return 0, err
	}
	revision, err := memory.table.Swap(key, expected, value)
	if err != nil {
		return 0, err
	}
	memory.writes++
	memory.wake()
	if memory.lost > 0 {
		memory.lost--
		return 0, lagoonlanding.ErrUnknown
	}
	return revision, nil
}

// Watch waits until an entry under the prefix is newer than the revision, or ctx ends, and returns the newer entries.
func (memory *Memory) Watch(ctx context.Context, prefix string, after uint64) (lagoonlanding.Listing, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if err := memory.admit(); err != nil {
		return lagoonlanding.Listing{}, err
	}
	for {
		listing := memory.table.Newer(prefix, after)
		if len(listing.Entries()) > 0 {
			return listing, nil
		}
		if err := memory.wait(ctx); err != nil {
			return lagoonlanding.Listing{}, err
		}
	}
}

// wait gives the mutex up until the next change.
func (memory *Memory) wait(ctx context.Context) error {
	changed := memory.changed
	memory.mutex.Unlock()
	defer memory.mutex.Lock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	}
	return memory.check()
}

func (memory *Memory) check() error {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if memory.down {
		return lagoonlanding.ErrUnavailable
	}
	return nil
}

func (memory *Memory) admit() error {
	memory.calls++
	if memory.down {
		return lagoonlanding.ErrUnavailable
	}
	return nil
}

func (memory *Memory) wake() {
	close(memory.changed)
	memory.changed = make(chan struct{})
}
