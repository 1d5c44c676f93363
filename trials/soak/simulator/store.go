package simulator

import (
	"errors"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
	"lagoonlanding.example/lagoonlanding/adapters/keeper"
)

const (
	storeTimeout = time.Second
	// brokenWatchTimeout is how long a watch waits on a broken connection.
	brokenWatchTimeout = 5 * time.Second
	watchRetryInterval = 500 * time.Millisecond
)

// store simulates the platform's key-value store with its faults.
type store struct {
	fleet    *Fleet
	table    *keeper.Table
	endpoint endpoint
	// outageCount and slowCount count the active outages and slowdowns.
	outageCount int
	slowCount   int
	// responsesToDrop is the number of next responses to writes that are dropped.
	responsesToDrop int
	watches         []*watch
	callCount       int
	writeCount      int
}

// watch is a call that waits for entries newer than a revision.
type watch struct {
	process *Process
	after   uint64
	done    bool
}

func newStore(fleet *Fleet, home slot) *store {
	return &store{fleet: fleet, table: keeper.NewTable(), endpoint: endpoint{slot: storeSlot, zone: "store-zone", region: home.region}}
}

func (store *store) startOutage(duration time.Duration) {
	store.outageCount++
	for _, watch := range store.watches {
		store.respondToWatch(watch, lagoonlanding.Listing{}, lagoonlanding.ErrUnavailable)
	}
	store.watches = nil
	store.fleet.timer.AfterFunc(duration, func() { store.outageCount-- })
}

func (store *store) startSlowdown(duration time.Duration) {
	store.slowCount++
	store.fleet.timer.AfterFunc(duration, func() { store.slowCount-- })
}

func (store *store) latency() time.Duration {
	if store.slowCount == 0 {
		return 0
	}
	return time.Duration(store.fleet.network.random.Int64N(int64(2 * storeTimeout)))
}

// compareAndSwap writes a value if the key is at the expected revision; done receives an error if no response arrives within the store timeout.
func (store *store) compareAndSwap(process *Process, key string, expected uint64, value []byte, done func(now time.Time, revision uint64, err error)) {
	storeCall[uint64]{
		process: process, done: done, isWrite: true,
		apply: func() (uint64, error) {
			revision, err := store.table.CompareAndSwap(key, expected, value)
			if err == nil {
				store.onWrite(key)
			}
			return revision, err
		},
	}.start(store)
}

// onWrite traces and checks an accepted write and responds to the watches that wait for it.
func (store *store) onWrite(key string) {
	store.writeCount++
	entry, _ := store.table.Get(key)
	if _, ok := lagoonlanding.ParseGroupKey(key); ok {
		record, err := encoder.Records{}.Decode(entry)
		if err != nil {
			panic(err)
		}
		store.fleet.trace("store: %s", describe(record))
		store.fleet.checker.RecordLayout(record)
		store.fleet.springTrap(record)
	} else {
		store.fleet.trace("store: set %s", entry.Value())
	}
	for _, watch := range store.watches {
		store.respondIfNewer(watch)
	}
	kept := store.watches[:0]
	for _, watch := range store.watches {
		if !watch.done {
			kept = append(kept, watch)
		}
	}
	store.watches = kept
}

func (store *store) get(process *Process, key string, done func(now time.Time, entry lagoonlanding.Entry, err error)) {
	storeCall[lagoonlanding.Entry]{
		process: process, done: done,
		apply: func() (lagoonlanding.Entry, error) { return store.table.Get(key) },
	}.start(store)
}

// storeCall is one read or write with its response.
type storeCall[Result any] struct {
	process *Process
	apply   func() (Result, error)
	done    func(now time.Time, result Result, err error)
	isWrite bool
}

func (storecall storeCall[Result]) start(store *store) {
	var zero Result
	fleet := store.fleet
	finished := false
	finish := func(result Result, err error) {
		storecall.process.runControl(func(now time.Time) {
			if !finished {
				finished = true
				storecall.done(now, result, err)
			}
		})
	}
	store.callCount++
	fleet.timer.AfterFunc(storeTimeout, func() { finish(zero, errors.Join(lagoonlanding.ErrUnknown, errTimeout)) })
	from := storecall.process.endpoint()
	fleet.network.transmit(from, store.endpoint, func() {
		fleet.timer.AfterFunc(store.latency(), func() {
			if store.outageCount > 0 {
				fleet.network.transmit(store.endpoint, from, func() { finish(zero, lagoonlanding.ErrUnavailable) })
				return
			}
			result, err := storecall.apply()
			if storecall.isWrite && err == nil && store.responsesToDrop > 0 {
				store.responsesToDrop--
				return
			}
			fleet.network.transmit(store.endpoint, from, func() { finish(result, err) })
		})
	})
}

// watch responds to the process as soon as the table has entries that are newer than the revision.
func (store *store) watch(process *Process, after uint64) {
	store.callCount++
	watch := &watch{process: process, after: after}
	if store.fleet.network.isCut(process.endpoint(), store.endpoint) {
		store.fleet.timer.AfterFunc(brokenWatchTimeout, func() { store.respondToWatch(watch, lagoonlanding.Listing{}, errTimeout) })
		return
	}
	store.fleet.timer.AfterFunc(store.fleet.network.delay(process.endpoint(), store.endpoint)+store.latency(), func() {
		if store.outageCount > 0 {
			store.respondToWatch(watch, lagoonlanding.Listing{}, lagoonlanding.ErrUnavailable)
			return
		}
		store.watches = append(store.watches, watch)
		store.respondIfNewer(watch)
	})
}

func (store *store) respondIfNewer(watch *watch) {
	listing := store.table.Newer(lagoonlanding.StorePrefix, watch.after)
	if len(listing.Entries()) > 0 {
		store.respondToWatch(watch, listing, nil)
	}
}

// respondToWatch ends a watch with a response, unless it has ended already.
func (store *store) respondToWatch(watch *watch, listing lagoonlanding.Listing, err error) {
	if watch.done {
		return
	}
	watch.done = true
	store.deliverResponse(watch, listing, err, brokenWatchTimeout)
}

// deliverResponse retransmits the response until it arrives, as TCP does, or reports a timeout once no time is left.
func (store *store) deliverResponse(watch *watch, listing lagoonlanding.Listing, err error, left time.Duration) {
	if left <= 0 {
		watch.process.runControl(func(now time.Time) { watch.process.controller.Watched(now, lagoonlanding.Listing{}, errTimeout) })
		return
	}
	to := watch.process.endpoint()
	if store.fleet.network.isCut(store.endpoint, to) {
		store.fleet.timer.AfterFunc(watchRetryInterval, func() { store.deliverResponse(watch, listing, err, left-watchRetryInterval) })
		return
	}
	store.fleet.timer.AfterFunc(store.fleet.network.delay(store.endpoint, to), func() {
		watch.process.runControl(func(now time.Time) { watch.process.controller.Watched(now, listing, err) })
	})
}
