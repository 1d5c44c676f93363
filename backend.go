package lagoonlanding

import (
	"fmt"
	"time"
)

// BackendID names one life of a backend server beside a daemon.
type BackendID struct {
	daemon string
	name   string
	born   int64
}

// NewBackendID returns the identity of the life that began at the Unix millisecond beside the daemon.
func NewBackendID(daemon, name string, born int64) BackendID {
	return BackendID{daemon: daemon, name: name, born: born}
}

// Daemon returns the name of the daemon beside the backend server.
func (backendid BackendID) Daemon() string { return backendid.daemon }

// Name returns the name that the backend server gives itself.
func (backendid BackendID) Name() string { return backendid.name }

// Born returns the Unix millisecond at which this life began.
func (backendid BackendID) Born() int64 { return backendid.born }

// IsZero reports whether the identity is unset.
func (backendid BackendID) IsZero() bool { return backendid == BackendID{} }

// String returns the identity for logs.
func (backendid BackendID) String() string {
	return fmt.Sprintf("%s/%s/%d", backendid.daemon, backendid.name, backendid.born)
}

// BackendState says what a backend server does.
type BackendState string

// The states of a backend server.
const (
	// BackendAbsent says that no backend server is up beside the daemon.
	BackendAbsent BackendState = "absent"
	// BackendReady says that it takes tasks.
	BackendReady BackendState = "ready"
	// BackendDraining says that it finishes what it has.
	BackendDraining BackendState = "draining"
)

// BackendConfig holds the parts of a Backend.
type BackendConfig struct {
	// ID is the life of the backend server; only the daemon's name is set while there is none.
	ID BackendID
	// PeerAddress is the host and port at which the daemon takes tasks from other daemons.
	PeerAddress string
	// AvailabilityZone and Region are where both run.
	AvailabilityZone, Region string
	// Service is the service that the backend server runs.
	Service string
	// Slots is how many tasks it runs at once.
	Slots int
	// State says what the backend server does.
	State BackendState
}

// Backend is a daemon with the backend server beside it, as the fleet knows them.
type Backend struct {
	config BackendConfig
}

// NewBackend returns the backend that the configuration describes.
func NewBackend(config BackendConfig) Backend { return Backend{config: config} }

// ID returns the life of the backend server.
func (backend Backend) ID() BackendID { return backend.config.ID }

// PeerAddress returns the host and port at which the daemon takes tasks from other daemons.
func (backend Backend) PeerAddress() string { return backend.config.PeerAddress }

// AvailabilityZone returns the zone in which both run.
func (backend Backend) AvailabilityZone() string { return backend.config.AvailabilityZone }

// Region returns the region in which both run.
func (backend Backend) Region() string { return backend.config.Region }

// Service returns the service that the backend server runs.
func (backend Backend) Service() string { return backend.config.Service }

// Slots returns how many tasks the backend server runs at once.
func (backend Backend) Slots() int { return backend.config.Slots }

// State says what the backend server does.
func (backend Backend) State() BackendState { return backend.config.State }

// HeldRange is a range of shard keys that a backend server holds under a fencing token.
type HeldRange struct {
	first, last int
	token       uint64
	handover    string
}

// NewHeldRange returns the range from first to last; handover proves that the last holder has let go, empty for none.
func NewHeldRange(first, last int, token uint64, handover string) HeldRange {
	return HeldRange{first: first, last: last, token: token, handover: handover}
}

// First returns the first key of the range.
func (heldrange HeldRange) First() int { return heldrange.first }

// Last returns the last key of the range.
func (heldrange HeldRange) Last() int { return heldrange.last }

// Token returns the fencing token.
func (heldrange HeldRange) Token() uint64 { return heldrange.token }

// Handover returns the proof that the last holder has let go, empty for none.
func (heldrange HeldRange) Handover() string { return heldrange.handover }

// AnnouncementConfig holds the parts of an Announcement.
type AnnouncementConfig struct {
	// Name is the name that the backend server gives itself.
	Name string
	// Born is the Unix millisecond of its start.
	Born int64
	// Sequence grows with each announcement of one life.
	Sequence int64
	// Address is the host and port at which it serves.
	Address string
	// Service is the service that it runs.
	Service string
	// Slots is how many tasks it runs at once.
	Slots int
	// State says what it does.
	State BackendState
	// WarmAt is when its cold start ends.
	WarmAt time.Time
	// Held are the keys that it holds or still works on.
	Held []HeldRange
	// Released are the keys that it let go since its last acknowledged announcement.
	Released []HeldRange
	// Received is when the announcement arrived.
	Received time.Time
}

// Announcement is what a backend server says of itself at intervals.
type Announcement struct {
	config AnnouncementConfig
}

// NewAnnouncement returns the announcement that the configuration describes.
func NewAnnouncement(config AnnouncementConfig) Announcement { return Announcement{config: config} }

// Name returns the name that the backend server gives itself.
func (announcement Announcement) Name() string { return announcement.config.Name }

// Born returns the Unix millisecond of its start.
func (announcement Announcement) Born() int64 { return announcement.config.Born }

// Sequence returns the count of the announcement within the life of the backend server.
func (announcement Announcement) Sequence() int64 { return announcement.config.Sequence }

// Address returns the host and port at which the backend server serves.
func (announcement Announcement) Address() string { return announcement.config.Address }

// Service returns the service that the backend server runs.
func (announcement Announcement) Service() string { return announcement.config.Service }

// Slots returns how many tasks the backend server runs at once.
func (announcement Announcement) Slots() int { return announcement.config.Slots }

// State says what the backend server does.
func (announcement Announcement) State() BackendState { return announcement.config.State }

// WarmAt returns when the cold start ends.
func (announcement Announcement) WarmAt() time.Time { return announcement.config.WarmAt }

// Held returns the keys that the backend server holds or still works on.
func (announcement Announcement) Held() []HeldRange { return announcement.config.Held }

// Released returns the keys that it let go since its last acknowledged announcement.
func (announcement Announcement) Released() []HeldRange { return announcement.config.Released }

// Received returns when the announcement arrived.
func (announcement Announcement) Received() time.Time { return announcement.config.Received }

// HoldOrder is what a backend server is to hold; all else is to be let go.
type HoldOrder struct {
	ranges []HeldRange
	ends   time.Time
}

// NewHoldOrder returns the order to hold the ranges until a time on the daemon's clock.
func NewHoldOrder(ranges []HeldRange, ends time.Time) HoldOrder {
	return HoldOrder{ranges: ranges, ends: ends}
}

// Ranges returns what the backend server is to hold.
func (holdorder HoldOrder) Ranges() []HeldRange { return holdorder.ranges }

// Ends returns until when it holds them unless it is told more; the zero time for an order that renews nothing.
func (holdorder HoldOrder) Ends() time.Time { return holdorder.ends }
