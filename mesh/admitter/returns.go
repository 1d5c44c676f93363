package admitter

import (
	"hash/fnv"
	"strconv"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// maxReturns bounds the refusals that are remembered: those of some seconds at several hundred a second.
	maxReturns = 4096
	// earlyTolerance is how much earlier than told a client may return: timers of clients are some milliseconds off.
	earlyTolerance = 20 * time.Millisecond
	// returnTerm is how long after the time that it was told a client counts as returning.
	returnTerm = time.Second
	// impatientRefusals is the number of refused returns in a row before their time from which a client counts as impatient: two clients may send
	// the same request at the same time.
	impatientRefusals = 2
)

// Returns remembers which clients were refused and when they were told to return; it is safe for concurrent use.
//
// Load: refused clients that return as told, among others that repeat their requests at once and often. A client is recognised by its address and
// its request, none of which helps it if forged: an unknown one counts as new, and one that is known as impatient is behind new ones.
type Returns struct {
	mutex   sync.Mutex
	refused map[uint64]refusal
}

// refusal is the last refusal of a request of one client.
type refusal struct {
	returnAt time.Time
	// objective is that of the first attempt: a repeated request has not more time than the first one.
	objective time.Time
	// early counts the returns in a row that came before their time.
	early int
}

// NewReturns returns an empty memory of refusals.
func NewReturns() *Returns { return &Returns{refused: map[uint64]refusal{}} }

// keyOf identifies the request of a client across its attempts.
func keyOf(task lagoonlanding.Task) uint64 {
	hash := fnv.New64a()
	for _, part := range []string{task.Client(), task.Method(), task.Host(), task.Target(), strconv.Itoa(task.ShardKey()), strconv.FormatInt(task.BodyLength(), 10)} {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum64()
}

// Arrived returns a task that has just arrived with the precedence of its client, and with the objective of the first attempt if the client returned
// as told.
func (returns *Returns) Arrived(now time.Time, task lagoonlanding.Task) lagoonlanding.Task {
	precedence, objective := returns.precedence(now, task)
	return task.With(func(config *lagoonlanding.TaskConfig) {
		config.Precedence = precedence
		if !objective.IsZero() && objective.Before(config.Objective) {
			config.Objective = objective
		}
	})
}

func (returns *Returns) precedence(now time.Time, task lagoonlanding.Task) (lagoonlanding.Precedence, time.Time) {
	if task.Client() == "" {
		return lagoonlanding.PrecedenceNone, time.Time{}
	}
	returns.mutex.Lock()
	defer returns.mutex.Unlock()
	key := keyOf(task)
	known, ok := returns.refused[key]
	switch {
	case !ok:
		return lagoonlanding.PrecedenceNone, time.Time{}
	case now.After(known.returnAt.Add(returnTerm)):
		delete(returns.refused, key)
		return lagoonlanding.PrecedenceNone, time.Time{}
	case now.Before(known.returnAt.Add(-earlyTolerance)):
		known.early++
		returns.refused[key] = known
		if known.early >= impatientRefusals {
			return lagoonlanding.PrecedenceImpatient, known.objective
		}
		return lagoonlanding.PrecedenceNone, time.Time{}
	}
	// One refusal lets one request return.
	delete(returns.refused, key)
	return lagoonlanding.PrecedenceReturned, known.objective
}

// Refused records that a task was refused and when its client was told to return.
func (returns *Returns) Refused(now time.Time, task lagoonlanding.Task, returnAt time.Time) {
	if task.Client() == "" {
		return
	}
	returns.mutex.Lock()
	defer returns.mutex.Unlock()
	key := keyOf(task)
	known, ok := returns.refused[key]
	if !ok && len(returns.refused) >= maxReturns {
		returns.expire(now)
		if len(returns.refused) >= maxReturns {
			return
		}
	}
	if !ok {
		known.objective = task.Objective()
	}
	if returnAt.After(known.returnAt) {
		known.returnAt = returnAt
	}
	returns.refused[key] = known
}

// expire removes the refusals whose clients have not returned.
func (returns *Returns) expire(now time.Time) {
	for key, known := range returns.refused {
		if now.After(known.returnAt.Add(returnTerm)) {
			delete(returns.refused, key)
		}
	}
}
