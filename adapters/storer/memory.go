package storer

import (
	"context"
	"sync"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/keeper"
)

// Memory is an in-memory store for tests; it can simulate outages and lost responses.
type Memory struct {
	mutex           sync.Mutex
	table           *keeper.Table
	changed         chan struct{}
	down            bool
	responsesToLose int
	calls           int
	writes          int
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{table: keeper.NewTable(), changed: make(chan struct{})}
}

// SetDown starts or ends an outage, in which all calls, pending watches included, fail with ErrUnavailable.
func (memory *Memory) SetDown(down bool) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.down = down
	memory.notify()
}

// LoseResponses makes the given number of successful writes return ErrUnknown, as if their responses were lost.
func (memory *Memory) LoseResponses(writes int) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.responsesToLose = writes
}

// Calls returns the number of calls, including watches and calls that failed in an outage.
func (memory *Memory) Calls() int {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	return memory.calls
}

// Writes returns the number of successful writes.
func (memory *Memory) Writes() int {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	return memory.writes
}

// Get returns the entry of the key, or ErrNotFound if there is none.
func (memory *Memory) Get(_ context.Context, key string) (lagoonlanding.Entry, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if err := memory.beginCall(); err != nil {
		return lagoonlanding.Entry{}, err
	}
	return memory.table.Get(key)
}

// List returns all entries under the prefix.
func (memory *Memory) List(_ context.Context, prefix string) (lagoonlanding.Listing, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if err := memory.beginCall(); err != nil {
		return lagoonlanding.Listing{}, err
	}
	return memory.table.List(prefix), nil
}

// CompareAndSwap writes the value if the entry still has the expected revision and returns the new revision.
func (memory *Memory) CompareAndSwap(_ context.Context, key string, expected uint64, value []byte) (uint64, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if err := memory.beginCall(); err != nil {
		return 0, err
	}
	revision, err := memory.table.CompareAndSwap(key, expected, value)
	if err != nil {
		return 0, err
	}
	memory.writes++
	memory.notify()
	if memory.responsesToLose > 0 {
		memory.responsesToLose--
		return 0, lagoonlanding.ErrUnknown
	}
	return revision, nil
}

// Watch waits until an entry under the prefix is newer than the revision and returns the newer entries, or an error once ctx is done.
func (memory *Memory) Watch(ctx context.Context, prefix string, after uint64) (lagoonlanding.Listing, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if err := memory.beginCall(); err != nil {
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

// wait releases the mutex until the next change or the end of ctx.
func (memory *Memory) wait(ctx context.Context) error {
	changed := memory.changed
	memory.mutex.Unlock()
	defer memory.mutex.Lock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	}
	return memory.checkAvailable()
}

// checkAvailable returns ErrUnavailable during an outage.
func (memory *Memory) checkAvailable() error {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if memory.down {
		return lagoonlanding.ErrUnavailable
	}
	return nil
}

// beginCall counts a call and returns ErrUnavailable during an outage.
func (memory *Memory) beginCall() error {
	memory.calls++
	if memory.down {
		return lagoonlanding.ErrUnavailable
	}
	return nil
}

// notify wakes all waiting watches.
func (memory *Memory) notify() {
	close(memory.changed)
	memory.changed = make(chan struct{})
}
