package player

import (
	"errors"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
	"lagoonlanding.example/lagoonlanding/adapters/keeper"
)

const (
	storeTimeout = time.Second
	// brokenWatchTerm is how long a watch waits on a connection that is cut.
	brokenWatchTerm = 5 * time.Second
	watchRetry      = 500 * time.Millisecond
)

// store is the platform's key-value service with its faults.
type store struct {
	fleet   *Fleet
	table   *keeper.Table
	place   place
	outages int
	slow    int
	// loseAnswers is how many answers to writes are lost next.
	loseAnswers int
	watches     []*watch
	calls       int
	writes      int
}

type watch struct {
	process *Process
	after   uint64
	done    bool
}

func newStore(fleet *Fleet, home slot) *store {
	return &store{fleet: fleet, table: keeper.NewTable(), place: place{slot: storeSlot, zone: "store-zone", region: home.region}}
}

func (store *store) down(term time.Duration) {
	store.outages++
	for _, watch := range store.watches {
		store.answerWatch(watch, lagoonlanding.Listing{}, lagoonlanding.ErrUnavailable)
	}
	store.watches = nil
	store.fleet.timer.AfterFunc(term, func() { store.outages-- })
}

func (store *store) slowDown(term time.Duration) {
	store.slow++
	store.fleet.timer.AfterFunc(term, func() { store.slow-- })
}

func (store *store) latency() time.Duration {
	if store.slow == 0 {
		return 0
	}
	return time.Duration(store.fleet.network.random.Int64N(int64(2 * storeTimeout)))
}

// swap writes a record as a client that gives up after the store's timeout.
func (store *store) swap(process *Process, key string, expected uint64, value []byte, done func(now time.Time, revision uint64, err error)) {
	storeCall[uint64]{
		process: process, done: done, isWrite: true,
		apply: func() (uint64, error) {
			revision, err := store.table.Swap(key, expected, value)
			if err == nil {
				store.wrote(key)
			}
			return revision, err
		},
	}.start(store)
}

func (store *store) wrote(key string) {
	store.writes++
	entry, _ := store.table.Get(key)
	if _, ok := lagoonlanding.ParseGroupKey(key); ok {
		record, err := encoder.Records{}.Decode(entry)
		if err != nil {
			panic(err)
		}
		store.fleet.note("store: %s", describe(record))
		store.fleet.checker.RecordLayout(record)
		store.fleet.spring(record)
	} else {
		store.fleet.note("store: set %s", entry.Value())
	}
	for _, watch := range store.watches {
		store.tryWatch(watch)
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

// storeCall is one read or write with its answer.
type storeCall[Result any] struct {
	process *Process
	apply   func() (Result, error)
	done    func(now time.Time, result Result, err error)
	isWrite bool
}

func (storecall storeCall[Result]) start(store *store) {
	var none Result
	fleet := store.fleet
	finished := false
	finish := func(result Result, err error) {
		storecall.process.do(func(now time.Time) {
			if !finished {
				finished = true
				storecall.done(now, result, err)
			}
		})
	}
	store.calls++
	fleet.timer.AfterFunc(storeTimeout, func() { finish(none, errors.Join(lagoonlanding.ErrUnknown, errTimeout)) })
	from := storecall.process.place()
	fleet.network.transmit(from, store.place, func() {
		fleet.timer.AfterFunc(store.latency(), func() {
			if store.outages > 0 {
				fleet.network.transmit(store.place, from, func() { finish(none, lagoonlanding.ErrUnavailable) })
				return
			}
			result, err := storecall.apply()
			if storecall.isWrite && err == nil && store.loseAnswers > 0 {
				store.loseAnswers--
				return
			}
			fleet.network.transmit(store.place, from, func() { finish(result, err) })
		})
	})
}

// watch waits for entries that are newer than the revision.
func (store *store) watch(process *Process, after uint64) {
	store.calls++
	watch := &watch{process: process, after: after}
	if store.fleet.network.isCut(process.place(), store.place) {
		store.fleet.timer.AfterFunc(brokenWatchTerm, func() { store.answerWatch(watch, lagoonlanding.Listing{}, errTimeout) })
		return
	}
	store.fleet.timer.AfterFunc(store.fleet.network.delay(process.place(), store.place)+store.latency(), func() {
		if store.outages > 0 {
			store.answerWatch(watch, lagoonlanding.Listing{}, lagoonlanding.ErrUnavailable)
			return
		}
		store.watches = append(store.watches, watch)
		store.tryWatch(watch)
	})
}

func (store *store) tryWatch(watch *watch) {
	listing := store.table.Newer(lagoonlanding.StorePrefix, watch.after)
	if len(listing.Entries()) > 0 {
		store.answerWatch(watch, listing, nil)
	}
}

// answerWatch sends the answer again until it arrives, as TCP does, or fails once the connection is given up.
func (store *store) answerWatch(watch *watch, listing lagoonlanding.Listing, err error) {
	if watch.done {
		return
	}
	watch.done = true
	store.sendWatch(watch, listing, err, brokenWatchTerm)
}

func (store *store) sendWatch(watch *watch, listing lagoonlanding.Listing, err error, left time.Duration) {
	if left <= 0 {
		watch.process.do(func(now time.Time) { watch.process.controller.Watched(now, lagoonlanding.Listing{}, errTimeout) })
		return
	}
	to := watch.process.place()
	if store.fleet.network.isCut(store.place, to) {
		store.fleet.timer.AfterFunc(watchRetry, func() { store.sendWatch(watch, listing, err, left-watchRetry) })
		return
	}
	store.fleet.timer.AfterFunc(store.fleet.network.delay(store.place, to), func() {
		watch.process.do(func(now time.Time) { watch.process.controller.Watched(now, listing, err) })
	})
}
