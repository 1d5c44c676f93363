package coordinator

import (
	"encoding/json"
	"errors"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
)

// suspectPrefix is the key prefix under which daemons report the requests that were in flight when their backend server crashed.
const suspectPrefix = FleetPrefix + "suspects/"

// CrashRecorded records that the quarantine has a new crash to report to the other daemons.
func (coordinator *Coordinator) CrashRecorded() { coordinator.suspectsPending = true }

// suspectWrite returns the write that reports the suspects to the other daemons, if one is pending.
func (coordinator *Coordinator) suspectWrite(now time.Time) (Write, bool) {
	if !coordinator.suspectsPending || !coordinator.session.IsRegistered() {
		return Write{}, false
	}
	coordinator.suspectsPending = false
	self := coordinator.config.Self
	notice := lagoonlanding.NewSuspectNotice(self.Service(), self.Region(), coordinator.config.Quarantine.Suspects(now, self.Service()))
	value, err := json.Marshal(encoder.FromSuspectNotice(notice, now))
	if err != nil {
		coordinator.config.Log.WithError(err).Error("Cannot encode the suspects; they were not written.")
		return Write{}, false
	}
	coordinator.config.Log.WithField("suspects", len(notice.Suspects())).Warn("Backend server crashed with requests in flight.")
	return Write{
		put: lagoonlanding.NewPut(suspectPrefix+self.ID().Daemon(), value, coordinator.session.Lease()), kind: suspectsKind, expected: coordinator.suspectsRevision,
	}, true
}

// suspectsDone records the result of a write of suspects. After a failure they are written again, on top of what the store holds, so that a late
// write cannot replace newer suspects.
func (coordinator *Coordinator) suspectsDone(now time.Time, write Write, revision uint64, err error) {
	log := coordinator.config.Log.WithField("key", write.put.Key()).WithField("expected", write.expected)
	if err == nil {
		coordinator.suspectsRevision = revision
		log.WithField("revision", revision).Info("Suspects written.")
		return
	}
	coordinator.suspectsPending = true
	if errors.Is(err, lagoonlanding.ErrLeaseEnded) {
		coordinator.session.End()
		return
	}
	var conflict *lagoonlanding.ConflictError
	if errors.As(err, &conflict) {
		current, _ := conflict.Current(write.put.Key())
		coordinator.suspectsRevision = current.Revision()
	}
	if coordinator.suspectsRevision == write.expected {
		coordinator.nextWriteAt = now.Add(coordinator.retryDelay(err))
	}
	log.WithError(err).Warn("Write of the suspects failed. Writing them again.")
}

func (coordinator *Coordinator) applySuspects(now time.Time, entry lagoonlanding.Entry) {
	log := coordinator.config.Log.WithField("key", entry.Key())
	var encoded encoder.SuspectNotice
	if err := json.Unmarshal(entry.Value(), &encoded); err != nil {
		log.WithError(err).Warn("Invalid suspects ignored.")
		return
	}
	notice, err := encoded.Value(now)
	if err != nil {
		log.WithError(err).Warn("Invalid suspects ignored.")
		return
	}
	coordinator.config.Quarantine.Merge(now, notice)
	log.WithField("suspects", len(notice.Suspects())).Info("Suspects of another daemon received.")
}
