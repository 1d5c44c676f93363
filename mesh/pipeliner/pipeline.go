package pipeliner

import "slices"

// Config holds the limits of a Pipeline.
type Config struct {
	// MaxRequests limits the requests that have been read and not yet answered.
	MaxRequests int
	// MaxHeadBytes limits the bytes of their heads; the first request may exceed it.
	MaxHeadBytes int
}

// EntryConfig describes a request to a Pipeline.
type EntryConfig struct {
	// Overlaps means that the request may run beside others of its connection: it can safely run twice and has no body.
	Overlaps bool
	// Last means that the client sends no request after this one.
	Last bool
	// HeadBytes is the size of the request line and the header.
	HeadBytes int
}

// State is what happens to a request.
type State uint8

// The states of a request.
const (
	// Waiting requests run once all before them have been answered.
	Waiting State = iota
	// Running requests have been passed to their handler.
	Running
	// Cancelled requests are never answered: a response before them closes the connection, so the client sends them again.
	Cancelled
)

// Entry is a request in a Pipeline.
type Entry struct {
	config EntryConfig
	state  State
}

// State returns what happens to the request.
func (entry *Entry) State() State { return entry.state }

// Pipeline holds the unanswered requests of one connection in their order; it is not safe for concurrent use.
//
// Load: clients that send further requests before the first has been answered. Those that can safely run twice run side by side and are
// answered in order. Any other runs alone, and nothing behind it is read.
type Pipeline struct {
	config  Config
	entries []*Entry
	// heads is the sum of the head sizes of the entries in bytes.
	heads int
	// ended means that no further request is accepted.
	ended bool
}

// New returns an empty pipeline.
func New(config Config) *Pipeline { return &Pipeline{config: config} }

// MayRead reports whether a further request may be read from the connection.
func (pipeline *Pipeline) MayRead() bool {
	if pipeline.ended {
		return false
	}
	if len(pipeline.entries) == 0 {
		return true
	}
	last := pipeline.entries[len(pipeline.entries)-1]
	return last.config.Overlaps && len(pipeline.entries) < pipeline.config.MaxRequests && pipeline.heads < pipeline.config.MaxHeadBytes
}

// HasEnded reports whether no further request is accepted.
func (pipeline *Pipeline) HasEnded() bool { return pipeline.ended }

// IsEmpty reports whether all requests have been answered or cancelled.
func (pipeline *Pipeline) IsEmpty() bool { return len(pipeline.entries) == 0 }

// Add appends a request that was read; it returns false if the pipeline has ended, in which case the request must not be passed on.
func (pipeline *Pipeline) Add(config EntryConfig) (*Entry, bool) {
	if pipeline.ended {
		return nil, false
	}
	added := &Entry{config: config}
	if config.Overlaps || len(pipeline.entries) == 0 {
		added.state = Running
	}
	pipeline.entries = append(pipeline.entries, added)
	pipeline.heads += config.HeadBytes
	pipeline.ended = config.Last
	return added, true
}

// IsFirst reports whether the request is the next to be answered.
func (pipeline *Pipeline) IsFirst(entry *Entry) bool {
	return len(pipeline.entries) > 0 && pipeline.entries[0] == entry
}

// Answer reports whether the response to the first request closes the connection.
//
// If the handler closes it, the requests behind are cancelled. If the daemon stops, it is closed only when no request behind has been read.
func (pipeline *Pipeline) Answer(handlerCloses, isStopping bool) bool {
	if handlerCloses {
		pipeline.Cancel()
		return true
	}
	if isStopping && len(pipeline.entries) == 1 {
		pipeline.ended = true
	}
	return pipeline.ended && len(pipeline.entries) == 1
}

// Finish removes the first request, whose response is complete, and starts the one that has waited for it.
func (pipeline *Pipeline) Finish() {
	pipeline.heads -= pipeline.entries[0].config.HeadBytes
	pipeline.entries = slices.Delete(pipeline.entries, 0, 1)
	if len(pipeline.entries) > 0 && pipeline.entries[0].state == Waiting {
		pipeline.entries[0].state = Running
	}
}

// End ends the pipeline; the requests in it are still answered.
func (pipeline *Pipeline) End() { pipeline.ended = true }

// Clear ends the pipeline and cancels all requests, because the client has gone.
func (pipeline *Pipeline) Clear() {
	pipeline.Cancel()
	for _, entry := range pipeline.entries {
		entry.state = Cancelled
	}
	pipeline.entries, pipeline.heads = nil, 0
}

// Cancel ends the pipeline and cancels all requests but the first.
func (pipeline *Pipeline) Cancel() {
	pipeline.ended = true
	if len(pipeline.entries) < 2 {
		return
	}
	for _, entry := range pipeline.entries[1:] {
		entry.state = Cancelled
		pipeline.heads -= entry.config.HeadBytes
	}
	pipeline.entries = pipeline.entries[:1]
}
