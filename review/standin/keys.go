package main

import (
	"sync"
	"time"
)

const (
	// keyCount is the number of keys of a sharded service, and blockKeys the number of keys of a block, the unit of the check.
	keyCount  = 65536
	blockKeys = 64
	// holdBound is for how long two processes may hold the same keys.
	holdBound = 500 * time.Millisecond
)

// span is a time in which a process held a block of keys.
type span struct {
	process  string
	fence    int64
	from, to time.Time
	// begun are the times at which the process began requests on keys of the block.
	begun []time.Time
}

// keyLedger records which process held which keys at which time.
type keyLedger struct {
	mutex  sync.Mutex
	blocks [keyCount / blockKeys][]*span
	// working counts the requests at work by key and process.
	working map[work]int
	// takenFromWork are the first cases in which a process was given a key on which another one that held it was at work, by the two processes.
	takenFromWork map[[2]string]takeover
}

// work is a process at work on a key.
type work struct {
	process string
	key     int
}

// takeover is a grant of a key on which another process was at work.
type takeover struct {
	at  time.Time
	key int
}

func newKeyLedger() *keyLedger {
	return &keyLedger{working: map[work]int{}, takenFromWork: map[[2]string]takeover{}}
}

// hold records that a process holds the keys from first to last until the given time, from now on.
func (keyledger *keyLedger) hold(now time.Time, process string, first, last int, fence int64, until time.Time) {
	keyledger.mutex.Lock()
	defer keyledger.mutex.Unlock()
	keyledger.checkWork(now, process, first, last)
	for block := first / blockKeys; block <= last/blockKeys; block++ {
		if current := keyledger.current(block, process, now); current != nil {
			current.to, current.fence = until, max(current.fence, fence)
			continue
		}
		keyledger.blocks[block] = append(keyledger.blocks[block], &span{process: process, fence: fence, from: now, to: until})
	}
}

// checkWork records a grant of keys on which another process that holds them is at work; the mutex must be locked.
func (keyledger *keyLedger) checkWork(now time.Time, process string, first, last int) {
	for work := range keyledger.working {
		isOther := work.process != process && first <= work.key && work.key <= last
		if !isOther || keyledger.current(work.key/blockKeys, process, now) != nil || keyledger.current(work.key/blockKeys, work.process, now) == nil {
			continue
		}
		pair := [2]string{work.process, process}
		if _, ok := keyledger.takenFromWork[pair]; !ok {
			keyledger.takenFromWork[pair] = takeover{at: now, key: work.key}
		}
	}
}

// finish records that a request on a key has ended.
func (keyledger *keyLedger) finish(process string, key int) {
	keyledger.mutex.Lock()
	defer keyledger.mutex.Unlock()
	ended := work{process: process, key: key}
	if keyledger.working[ended]--; keyledger.working[ended] <= 0 {
		delete(keyledger.working, ended)
	}
}

// release records that a process no longer holds the keys.
func (keyledger *keyLedger) release(now time.Time, process string, first, last int) {
	keyledger.mutex.Lock()
	defer keyledger.mutex.Unlock()
	for block := first / blockKeys; block <= last/blockKeys; block++ {
		if current := keyledger.current(block, process, now); current != nil {
			current.to = now
		}
	}
}

// end records that a process has ended.
func (keyledger *keyLedger) end(now time.Time, process string) {
	keyledger.release(now, process, 0, keyCount-1)
}

// begin records that a process begins a request on a key.
func (keyledger *keyLedger) begin(now time.Time, process string, key int) {
	keyledger.mutex.Lock()
	defer keyledger.mutex.Unlock()
	keyledger.working[work{process: process, key: key}]++
	if current := keyledger.current(key/blockKeys, process, now); current != nil {
		current.begun = append(current.begun, now)
	}
}

// current returns the span in which a process holds a block now, nil for none; the mutex must be locked.
func (keyledger *keyLedger) current(block int, process string, now time.Time) *span {
	spans := keyledger.blocks[block]
	for index := len(spans) - 1; index >= 0; index-- {
		if spans[index].process == process && now.Before(spans[index].to) {
			return spans[index]
		}
	}
	return nil
}

// heldBlocks returns the number of blocks that some process holds now.
func (keyledger *keyLedger) heldBlocks(now time.Time) int {
	keyledger.mutex.Lock()
	defer keyledger.mutex.Unlock()
	count := 0
	for _, spans := range keyledger.blocks {
		for _, span := range spans {
			if now.Before(span.to) {
				count++
				break
			}
		}
	}
	return count
}

// check reports every pair of processes that held the same keys for too long, that both began requests on them meanwhile, or of which one was given a
// key on which the other was at work.
func (keyledger *keyLedger) check(recorder *recorder) {
	keyledger.mutex.Lock()
	defer keyledger.mutex.Unlock()
	now := time.Now()
	type pair struct{ first, second string }
	type finding struct {
		blocks, both int
		from         time.Time
		longest      time.Duration
	}
	findings := map[pair]*finding{}
	for _, spans := range keyledger.blocks {
		for index, second := range spans {
			for _, first := range spans[:index] {
				from, to := later(first.from, second.from), earlier(earlier(first.to, second.to), now)
				if first.process == second.process || !from.Before(to) {
					continue
				}
				both := began(first, from, to) && began(second, from, to)
				if to.Sub(from) <= holdBound && !both {
					continue
				}
				key := pair{first.process, second.process}
				if findings[key] == nil {
					findings[key] = &finding{from: from}
				}
				found := findings[key]
				found.blocks++
				found.longest = max(found.longest, to.Sub(from))
				found.from = earlier(found.from, from)
				if both {
					found.both++
				}
			}
		}
	}
	for pair, taken := range keyledger.takenFromWork {
		recorder.breaks("OWNER: %s was given key %d at %.3f, while %s held it and was at work on it", pair[1], taken.key, recorder.since(taken.at), pair[0])
	}
	for key, found := range findings {
		recorder.breaks("OWNER: %s and %s held %d keys at the same time from %.3f on, for up to %v; on %d of these both began requests meanwhile",
			key.first, key.second, found.blocks*blockKeys, recorder.since(found.from), found.longest.Round(time.Millisecond), found.both*blockKeys)
	}
}

func began(span *span, from, to time.Time) bool {
	for _, at := range span.begun {
		if !at.Before(from) && at.Before(to) {
			return true
		}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
