package coordinator

import (
	"encoding/json"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
)

// suspectPrefix starts the keys under which daemons name the requests in flight at crashes beside them.
const suspectPrefix = FleetPrefix + "suspects/"

// Crashed notes that the quarantine has learned of a crash, which other daemons should know.
func (coordinator *Coordinator) Crashed() { coordinator.crashed = true }

// suspectWrite returns the write that tells other daemons of the suspects.
func (coordinator *Coordinator) suspectWrite(now time.Time) (Write, bool) {
	if !coordinator.crashed || !coordinator.session.IsRegistered() {
		return Write{}, false
	}
	coordinator.crashed = false
	self := coordinator.config.Self
	notice := lagoonlanding.NewSuspectNotice(self.Service(), self.Region(), coordinator.config.Quarantine.Suspects(now, self.Service()))
	value, err := json.Marshal(encoder.FromSuspectNotice(notice, now))
	if err != nil {
		coordinator.config.Log.WithError(err).Error("Suspects cannot be encoded.")
		return Write{}, false
	}
	coordinator.config.Log.WithField("suspects", len(notice.Suspects())).Warn("Backend server ended with requests in flight.")
	return Write{put: lagoonlanding.NewPut(suspectPrefix+self.ID().Daemon(), value, coordinator.session.Lease()), kind: suspects}, true
}

func (coordinator *Coordinator) applySuspects(now time.Time, entry lagoonlanding.Entry) {
	log := coordinator.config.Log.WithField("key", entry.Key())
	var form encoder.SuspectNotice
	if err := json.Unmarshal(entry.Value(), &form); err != nil {
		log.WithError(err).Warn("Unreadable suspects ignored.")
		return
	}
	notice, err := form.Value(now)
	if err != nil {
		log.WithError(err).Warn("Unreadable suspects ignored.")
		return
	}
	coordinator.config.Quarantine.Merge(now, notice)
	log.WithField("suspects", len(notice.Suspects())).Info("Suspects of another daemon are known.")
}
