package registrar

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Departure is the announced end of a process of the backend server, and its entry in the store.
//
// It binds the later processes of the daemon too: an announcement that the process sent before may reach them, so they must know the entry when
// they register a backend server.
type Departure struct {
	// id is the process that leaves, zero for none.
	id lagoonlanding.BackendID
	// deadline is when the process stops receiving tasks.
	deadline time.Time
	// revision is the revision that the entry was last seen to have in the store, zero for none.
	revision uint64
	// recorded is closed once the store holds the departure.
	recorded chan struct{}
}

// ID returns the process that leaves, zero for none.
func (departure *Departure) ID() lagoonlanding.BackendID { return departure.id }

// Deadline returns when the process stops receiving tasks.
func (departure *Departure) Deadline() time.Time { return departure.deadline }

// Revision returns the revision that the entry was last seen to have in the store, zero for none; it may be outdated.
func (departure *Departure) Revision() uint64 { return departure.revision }

// Covers reports whether the process leaves.
func (departure *Departure) Covers(id lagoonlanding.BackendID) bool {
	return !departure.id.IsZero() && departure.id == id
}

// IsOutlived reports whether a process is an earlier one than the one that leaves.
func (departure *Departure) IsOutlived(startedMilli int64) bool {
	return startedMilli < departure.id.StartedMilli()
}

// Begin records that a process leaves and receives no tasks from the deadline on; it returns false if that is known or the process is an earlier
// one than the one that leaves.
func (departure *Departure) Begin(id lagoonlanding.BackendID, deadline time.Time) bool {
	if departure.Covers(id) || departure.IsOutlived(id.StartedMilli()) {
		return false
	}
	departure.id, departure.deadline, departure.recorded = id, deadline, make(chan struct{})
	return true
}

// Recorded returns a channel that is closed once the store holds the departure, nil if no process leaves.
func (departure *Departure) Recorded() <-chan struct{} { return departure.recorded }

// IsRecorded reports whether there is no departure that the store does not hold.
func (departure *Departure) IsRecorded() bool {
	select {
	case <-departure.recorded:
		return true
	default:
		return departure.id.IsZero()
	}
}

// Record records the revision at which the store holds the departure.
func (departure *Departure) Record(revision uint64) {
	departure.revision = revision
	if !departure.IsRecorded() {
		close(departure.recorded)
	}
}

// Observe records the entry in the store: its revision, zero for none, and the process that it names. An earlier process of the daemon wrote it, so
// the time that the named process had for its keys is over.
func (departure *Departure) Observe(now time.Time, id lagoonlanding.BackendID, revision uint64) {
	departure.revision = revision
	if id.IsZero() {
		return
	}
	departure.Begin(id, now)
	if departure.Covers(id) {
		departure.Record(revision)
	}
}

// BeginEra records that the store was restored from a copy, which may lack the departure: it has to be written again if it is still needed.
func (departure *Departure) BeginEra(isNeeded bool) {
	departure.revision = 0
	if isNeeded && departure.IsRecorded() {
		departure.recorded = make(chan struct{})
	}
}

// DepartureCodec converts the processes named by departures to and from their stored form.
type DepartureCodec struct{}

var _ lagoonlanding.Codec[lagoonlanding.BackendID] = DepartureCodec{}

// encodedDeparture is the stored form of a departure.
type encodedDeparture struct {
	Daemon       string `json:"daemon"`
	Name         string `json:"backend-server"`
	StartedMilli int64  `json:"born"`
}

// Encode returns the stored form of a departure of the process.
func (departurecodec DepartureCodec) Encode(id lagoonlanding.BackendID) ([]byte, error) {
	encoded, err := json.Marshal(encodedDeparture{Daemon: id.Daemon(), Name: id.Name(), StartedMilli: id.StartedMilli()})
	if err != nil {
		return nil, fmt.Errorf("encode departure: %w", err)
	}
	return encoded, nil
}

// Decode returns the process whose departure is stored in an entry.
func (departurecodec DepartureCodec) Decode(entry lagoonlanding.Entry) (lagoonlanding.BackendID, error) {
	var decoded encodedDeparture
	if err := json.Unmarshal(entry.Value(), &decoded); err != nil {
		return lagoonlanding.BackendID{}, fmt.Errorf("decode departure %s: %w", entry.Key(), err)
	}
	if decoded.Name == "" || decoded.Daemon == "" || !strings.HasSuffix(entry.Key(), "/"+decoded.Daemon) {
		return lagoonlanding.BackendID{}, fmt.Errorf("decode departure %s: process %q of daemon %q", entry.Key(), decoded.Name, decoded.Daemon)
	}
	return lagoonlanding.NewBackendID(decoded.Daemon, decoded.Name, decoded.StartedMilli), nil
}
