package encoder

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// maxSuspects is the maximum number of suspects in one notice.
	maxSuspects = 1024
	// maxSuspectCrashes is the maximum number of crashes of one suspect.
	maxSuspectCrashes = 64
)

// Crash is the wire format of a crash of a backend server.
type Crash struct {
	ID uint64
	// Alone reports whether exactly one request was in flight.
	Alone bool
}

// Suspect is the wire format of a request fingerprint that was in flight during crashes.
type Suspect struct {
	Fingerprint [16]byte
	Workspace   string
	// Left is the time remaining until the suspect expires.
	Left    time.Duration
	Crashes []Crash
	// Cleared are the crashes that the request is known not to have caused.
	Cleared []Crash
}

// SuspectNotice is the wire format of a notice of suspects.
type SuspectNotice struct {
	Service  string
	Region   string
	Suspects []Suspect
}

// FromSuspectNotice encodes the notice; expiry times are sent as the time remaining from now.
func FromSuspectNotice(notice lagoonlanding.SuspectNotice, now time.Time) SuspectNotice {
	message := SuspectNotice{Service: notice.Service(), Region: notice.Region()}
	for _, suspect := range notice.Suspects() {
		message.Suspects = append(message.Suspects, Suspect{
			Fingerprint: suspect.Fingerprint(), Workspace: suspect.Workspace(), Left: remaining(suspect.Expires(), now),
			Crashes: fromCrashes(suspect.Crashes()), Cleared: fromCrashes(suspect.Cleared()),
		})
	}
	return message
}

// Value decodes the notice; expiry times are computed from now.
func (suspectnotice SuspectNotice) Value(now time.Time) (lagoonlanding.SuspectNotice, error) {
	if len(suspectnotice.Suspects) > maxSuspects {
		return lagoonlanding.SuspectNotice{}, fmt.Errorf("too many suspects in a notice: %d", len(suspectnotice.Suspects))
	}
	var suspects []lagoonlanding.Suspect
	for _, wiresuspect := range suspectnotice.Suspects {
		if len(wiresuspect.Crashes) > maxSuspectCrashes || len(wiresuspect.Cleared) > maxSuspectCrashes {
			return lagoonlanding.SuspectNotice{}, fmt.Errorf("too many crashes of a suspect: %d", len(wiresuspect.Crashes)+len(wiresuspect.Cleared))
		}
		suspects = append(suspects, lagoonlanding.NewSuspect(lagoonlanding.SuspectConfig{
			Fingerprint: wiresuspect.Fingerprint, Workspace: wiresuspect.Workspace, Expires: deadlineAfter(wiresuspect.Left, now),
			Crashes: toCrashes(wiresuspect.Crashes), Cleared: toCrashes(wiresuspect.Cleared),
		}))
	}
	return lagoonlanding.NewSuspectNotice(suspectnotice.Service, suspectnotice.Region, suspects), nil
}

func fromCrashes(crashes []lagoonlanding.Crash) []Crash {
	wirecrashes := make([]Crash, len(crashes))
	for index, crash := range crashes {
		wirecrashes[index] = Crash{ID: crash.ID(), Alone: crash.IsSingleRequest()}
	}
	return wirecrashes
}

func toCrashes(wirecrashes []Crash) []lagoonlanding.Crash {
	values := make([]lagoonlanding.Crash, len(wirecrashes))
	for index, wirecrash := range wirecrashes {
		values[index] = lagoonlanding.NewCrash(wirecrash.ID, wirecrash.Alone)
	}
	return values
}
