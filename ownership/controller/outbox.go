package controller

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Call is a request to send to another instance.
type Call[Request any] struct {
	to      lagoonlanding.Instance
	request Request
}

// To returns the called instance.
func (call Call[Request]) To() lagoonlanding.Instance { return call.to }

// Request returns the request.
func (call Call[Request]) Request() Request { return call.request }

// Calls that consist of the request only.
type (
	// Clearance asks a witness which members can no longer serve requests under the previous layout.
	Clearance = Call[lagoonlanding.ClearanceRequest]
	// Join asks a witness to add or remove an instance.
	Join = Call[lagoonlanding.JoinRequest]
	// Fetch asks an instance for newer directory entries.
	Fetch = Call[lagoonlanding.DirectoryRequest]
	// Notice sends a record to an instance.
	Notice = Call[lagoonlanding.RecordNotice]
)

// Renewal is a lease renewal to send to a witness.
type Renewal struct {
	Call[lagoonlanding.RenewRequest]
	requestedAt time.Time
}

// RequestedAt returns when the renewal was issued, which is when the term of its promise starts.
func (renewal Renewal) RequestedAt() time.Time { return renewal.requestedAt }

// Swap is a record to write if its store entry still has the expected revision.
type Swap struct {
	record   lagoonlanding.Record
	value    []byte
	expected uint64
}

// Record returns the record to write.
func (swap Swap) Record() lagoonlanding.Record { return swap.record }

// Key returns the record's key in the store.
func (swap Swap) Key() string { return lagoonlanding.GroupKey(swap.record.Group()) }

// Value returns the encoded record.
func (swap Swap) Value() []byte { return swap.value }

// Expected returns the revision that the entry must have, zero for a key that does not exist.
func (swap Swap) Expected() uint64 { return swap.expected }

// Drain is a shard to hand over once its running requests have finished.
type Drain struct {
	group    lagoonlanding.GroupID
	version  uint64
	shard    int
	to       lagoonlanding.Instance
	since    uint64
	deadline time.Time
}

// Group returns the group of the shard.
func (drain Drain) Group() lagoonlanding.GroupID { return drain.group }

// Version returns the version of the layout that moves the shard.
func (drain Drain) Version() uint64 { return drain.version }

// Shard returns the number of the shard.
func (drain Drain) Shard() int { return drain.shard }

// To returns the new owner.
func (drain Drain) To() lagoonlanding.Instance { return drain.to }

// Since returns the store revision from which the shard's deduplication records are complete.
func (drain Drain) Since() uint64 { return drain.since }

// Deadline returns when the drain is aborted.
func (drain Drain) Deadline() time.Time { return drain.deadline }

// Drop is a shard whose deduplication records are no longer valid.
type Drop struct {
	group lagoonlanding.GroupID
	shard int
}

// Group returns the group of the shard.
func (drop Drop) Group() lagoonlanding.GroupID { return drop.group }

// Shard returns the number of the shard.
func (drop Drop) Shard() int { return drop.shard }

// Outbox holds the actions that the control state has requested, in the order of its decisions.
type Outbox struct {
	drops      []Drop
	imports    []lagoonlanding.HandoverRequest
	renewals   []Renewal
	clearances []Clearance
	joins      []Join
	fetches    []Fetch
	notices    []Notice
	swaps      []Swap
	reads      []string
	drains     []Drain
	watch      bool
}

// Drops returns the shards whose deduplication records must be discarded before the next snapshot is published.
func (outbox Outbox) Drops() []Drop { return outbox.drops }

// Imports returns the handovers whose deduplication records must be imported before the next snapshot is published.
func (outbox Outbox) Imports() []lagoonlanding.HandoverRequest { return outbox.imports }

// Renewals returns the renewals to send.
func (outbox Outbox) Renewals() []Renewal { return outbox.renewals }

// Clearances returns the clearance requests to send.
func (outbox Outbox) Clearances() []Clearance { return outbox.clearances }

// Joins returns the join requests to send.
func (outbox Outbox) Joins() []Join { return outbox.joins }

// Fetches returns the directory requests to send.
func (outbox Outbox) Fetches() []Fetch { return outbox.fetches }

// Notices returns the record notices to send.
func (outbox Outbox) Notices() []Notice { return outbox.notices }

// Swaps returns the records to write.
func (outbox Outbox) Swaps() []Swap { return outbox.swaps }

// Reads returns the keys of the entries to read from the store.
func (outbox Outbox) Reads() []string { return outbox.reads }

// Drains returns the shards to hand over.
func (outbox Outbox) Drains() []Drain { return outbox.drains }

// WantsWatch reports whether a watch for entries newer than the directory's revision must be started.
func (outbox Outbox) WantsWatch() bool { return outbox.watch }
