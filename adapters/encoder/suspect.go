package encoder

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// maxSuspects bounds the suspects of one notice.
	maxSuspects = 1024
	// maxSuspectCrashes bounds the crashes of one suspect.
	maxSuspectCrashes = 64
)

// Crash is the form of a crash.
type Crash struct {
	ID    uint64
	Alone bool
}

// Suspect is the form of a suspect.
type Suspect struct {
	Fingerprint [16]byte
	Workspace   string
	Left        time.Duration
	Crashes     []Crash
	Cleared     []Crash
}

// SuspectNotice is the form of a notice of suspects.
type SuspectNotice struct {
	Service  string
	Region   string
	Suspects []Suspect
}

// FromSuspectNotice returns the form of the notice that is sent now.
func FromSuspectNotice(notice lagoonlanding.SuspectNotice, now time.Time) SuspectNotice {
	form := SuspectNotice{Service: notice.Service(), Region: notice.Region()}
	for _, suspect := range notice.Suspects() {
		form.Suspects = append(form.Suspects, Suspect{
			Fingerprint: suspect.Fingerprint(), Workspace: suspect.Workspace(), Left: remaining(suspect.Expires(), now),
			Crashes: fromCrashes(suspect.Crashes()), Cleared: fromCrashes(suspect.Cleared()),
		})
	}
	return form
}

// Value returns the notice.
func (suspectnotice SuspectNotice) Value(now time.Time) (lagoonlanding.SuspectNotice, error) {
	if len(suspectnotice.Suspects) > maxSuspects {
		return lagoonlanding.SuspectNotice{}, fmt.Errorf("a notice of %d suspects", len(suspectnotice.Suspects))
	}
	var suspects []lagoonlanding.Suspect
	for _, form := range suspectnotice.Suspects {
		if len(form.Crashes) > maxSuspectCrashes || len(form.Cleared) > maxSuspectCrashes {
			return lagoonlanding.SuspectNotice{}, fmt.Errorf("a suspect of %d crashes", len(form.Crashes)+len(form.Cleared))
		}
		suspects = append(suspects, lagoonlanding.NewSuspect(lagoonlanding.SuspectConfig{
			Fingerprint: form.Fingerprint, Workspace: form.Workspace, Expires: deadlineOf(form.Left, now),
			Crashes: crashes(form.Crashes), Cleared: crashes(form.Cleared),
		}))
	}
	return lagoonlanding.NewSuspectNotice(suspectnotice.Service, suspectnotice.Region, suspects), nil
}

func fromCrashes(crashes []lagoonlanding.Crash) []Crash {
	forms := make([]Crash, len(crashes))
	for index, crash := range crashes {
		forms[index] = Crash{ID: crash.ID(), Alone: crash.IsSingleRequest()}
	}
	return forms
}

func crashes(forms []Crash) []lagoonlanding.Crash {
	values := make([]lagoonlanding.Crash, len(forms))
	for index, form := range forms {
		values[index] = lagoonlanding.NewCrash(form.ID, form.Alone)
	}
	return values
}
