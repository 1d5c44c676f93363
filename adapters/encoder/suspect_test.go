package encoder

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding"
)

func sampleNotice(now time.Time) lagoonlanding.SuspectNotice {
	return lagoonlanding.NewSuspectNotice("archive", "doto", []lagoonlanding.Suspect{
		lagoonlanding.NewSuspect(lagoonlanding.SuspectConfig{
			Fingerprint: lagoonlanding.Fingerprint{1, 2}, Workspace: "scripts", Expires: now.Add(time.Minute),
			Crashes: []lagoonlanding.Crash{lagoonlanding.NewCrash(7, true), lagoonlanding.NewCrash(9, false)},
			Cleared: []lagoonlanding.Crash{lagoonlanding.NewCrash(9, false)},
		}),
	})
}

func TestSuspectNoticeRoundTripsWithinItsLimits(t *testing.T) {
	got, err := FromSuspectNotice(sampleNotice(senderNow), senderNow).Value(receiverNow)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sampleNotice(receiverNow), got, exported); diff != "" {
		t.Error(diff)
	}
	if _, err := (SuspectNotice{Suspects: make([]Suspect, maxSuspects+1)}).Value(receiverNow); err == nil {
		t.Error("a notice with too many suspects was accepted")
	}
}

func FuzzSuspectNotice(f *testing.F) {
	fuzzMessage(f, FromSuspectNotice(sampleNotice(senderNow), senderNow), FromSuspectNotice)
}
