package lagoonlanding

import (
	"fmt"
	"time"
)

// BackendID identifies one process incarnation of the backend server beside a daemon.
type BackendID struct {
	daemon       string
	name         string
	startedMilli int64
}

// NewBackendID returns the identity of the process that the daemon's backend server started at the Unix time in milliseconds.
func NewBackendID(daemon, name string, startedMilli int64) BackendID {
	return BackendID{daemon: daemon, name: name, startedMilli: startedMilli}
}

// Daemon returns the name of the daemon beside the backend server.
func (backendid BackendID) Daemon() string { return backendid.daemon }

// Name returns the name under which the backend server registered.
func (backendid BackendID) Name() string { return backendid.name }

// StartedMilli returns the Unix time in milliseconds at which the process started.
func (backendid BackendID) StartedMilli() int64 { return backendid.startedMilli }

// IsZero reports whether the identity is unset.
func (backendid BackendID) IsZero() bool { return backendid == BackendID{} }

// String formats the identity for logs.
func (backendid BackendID) String() string {
	return fmt.Sprintf("%s/%s/%d", backendid.daemon, backendid.name, backendid.startedMilli)
}

// BackendState is the lifecycle state of a backend server.
type BackendState string

// The states of a backend server.
const (
	// BackendAbsent means that no backend server is registered with the daemon.
	BackendAbsent BackendState = "absent"
	// BackendReady means that the backend server accepts tasks.
	BackendReady BackendState = "ready"
	// BackendDraining means that the backend server finishes its current tasks and accepts no new ones.
	BackendDraining BackendState = "draining"
)

// MaxSlots is the greatest number of slots that a backend server may announce.
const MaxSlots = 1 << 16

// BackendConfig holds the fields of a Backend.
type BackendConfig struct {
	// ID identifies the backend server's process; only the daemon's name is set while none is registered.
	ID BackendID
	// PeerAddress is the host and port at which the daemon accepts tasks from other daemons.
	PeerAddress string
	// AvailabilityZone and Region locate the daemon and the backend server.
	AvailabilityZone, Region string
	// Service is the service that the backend server provides.
	Service string
	// Slots is the number of tasks that the backend server runs concurrently.
	Slots int
	// State is the lifecycle state of the backend server.
	State BackendState
	// AcceptsFrames means that the daemon accepts messages with compact heads.
	AcceptsFrames bool
}

// Backend describes a daemon and the backend server beside it to the rest of the fleet.
type Backend struct {
	config BackendConfig
}

// NewBackend returns a backend with the given configuration.
func NewBackend(config BackendConfig) Backend { return Backend{config: config} }

// ID returns the identity of the backend server's process.
func (backend Backend) ID() BackendID { return backend.config.ID }

// PeerAddress returns the host and port at which the daemon accepts tasks from other daemons.
func (backend Backend) PeerAddress() string { return backend.config.PeerAddress }

// AvailabilityZone returns the availability zone of the daemon and the backend server.
func (backend Backend) AvailabilityZone() string { return backend.config.AvailabilityZone }

// Region returns the region of the daemon and the backend server.
func (backend Backend) Region() string { return backend.config.Region }

// Service returns the service that the backend server provides.
func (backend Backend) Service() string { return backend.config.Service }

// Slots returns the number of tasks that the backend server runs concurrently.
func (backend Backend) Slots() int { return backend.config.Slots }

// State returns the lifecycle state of the backend server.
func (backend Backend) State() BackendState { return backend.config.State }

// AcceptsFrames reports whether the daemon accepts messages with compact heads; daemons of earlier releases do not.
func (backend Backend) AcceptsFrames() bool { return backend.config.AcceptsFrames }

// HeldRange is a range of shard keys that a backend server owns under a fencing token.
type HeldRange struct {
	first, last int
	token       uint64
	handover    string
}

// NewHeldRange returns the inclusive range from first to last; handover is the previous owner's handover proof, empty if there is none.
func NewHeldRange(first, last int, token uint64, handover string) HeldRange {
	return HeldRange{first: first, last: last, token: token, handover: handover}
}

// First returns the first key of the range.
func (heldrange HeldRange) First() int { return heldrange.first }

// Last returns the last key of the range.
func (heldrange HeldRange) Last() int { return heldrange.last }

// Token returns the fencing token.
func (heldrange HeldRange) Token() uint64 { return heldrange.token }

// Handover returns the proof that the previous owner has released the range, empty if there is none.
func (heldrange HeldRange) Handover() string { return heldrange.handover }

// AnnouncementConfig holds the fields of an Announcement.
type AnnouncementConfig struct {
	// Name is the name under which the backend server registers.
	Name string
	// StartedMilli is the Unix time in milliseconds at which the process started.
	StartedMilli int64
	// Sequence increases with each announcement of one process.
	Sequence int64
	// Address is the host and port at which the backend server accepts requests.
	Address string
	// Service is the service that the backend server provides.
	Service string
	// Slots is the number of tasks that the backend server runs concurrently.
	Slots int
	// State is the lifecycle state of the backend server.
	State BackendState
	// WarmAt is the time at which the cold start ends.
	WarmAt time.Time
	// Held lists the ranges that the backend server owns or still processes tasks for.
	Held []HeldRange
	// Released lists the ranges released since the last acknowledged announcement.
	Released []HeldRange
	// Received is the time at which the announcement arrived.
	Received time.Time
}

// Announcement is a periodic heartbeat in which a backend server reports its state to the daemon.
type Announcement struct {
	config AnnouncementConfig
}

// NewAnnouncement returns an announcement with the given configuration.
func NewAnnouncement(config AnnouncementConfig) Announcement { return Announcement{config: config} }

// Name returns the name under which the backend server registers.
func (announcement Announcement) Name() string { return announcement.config.Name }

// StartedMilli returns the Unix time in milliseconds at which the process started.
func (announcement Announcement) StartedMilli() int64 { return announcement.config.StartedMilli }

// Sequence returns the sequence number of the announcement within the process.
func (announcement Announcement) Sequence() int64 { return announcement.config.Sequence }

// Address returns the host and port at which the backend server accepts requests.
func (announcement Announcement) Address() string { return announcement.config.Address }

// Service returns the service that the backend server provides.
func (announcement Announcement) Service() string { return announcement.config.Service }

// Slots returns the number of tasks that the backend server runs concurrently.
func (announcement Announcement) Slots() int { return announcement.config.Slots }

// State returns the lifecycle state of the backend server.
func (announcement Announcement) State() BackendState { return announcement.config.State }

// WarmAt returns the time at which the cold start ends.
func (announcement Announcement) WarmAt() time.Time { return announcement.config.WarmAt }

// Held returns the ranges that the backend server owns or still processes tasks for.
func (announcement Announcement) Held() []HeldRange { return announcement.config.Held }

// Released returns the ranges released since the last acknowledged announcement.
func (announcement Announcement) Released() []HeldRange { return announcement.config.Released }

// Received returns the time at which the announcement arrived.
func (announcement Announcement) Received() time.Time { return announcement.config.Received }

// RangeAssignment lists the ranges that a backend server is to own; it must release every other range.
type RangeAssignment struct {
	ranges    []HeldRange
	expiresAt time.Time
}

// NewRangeAssignment returns an assignment of the ranges that expires at the given time on the daemon's clock.
func NewRangeAssignment(ranges []HeldRange, expiresAt time.Time) RangeAssignment {
	return RangeAssignment{ranges: ranges, expiresAt: expiresAt}
}

// Ranges returns the assigned ranges.
func (rangeassignment RangeAssignment) Ranges() []HeldRange { return rangeassignment.ranges }

// ExpiresAt returns when the assignment expires unless it is renewed; the zero time if this assignment renews nothing.
func (rangeassignment RangeAssignment) ExpiresAt() time.Time { return rangeassignment.expiresAt }
