package syncer

import "time"

// touch notes that the store answered a call that was sent at the time.
func (syncer *Syncer) touch(sent time.Time) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	if sent.After(syncer.contact.Add(contactTerm)) {
		syncer.regained = sent
	}
	if sent.After(syncer.contact) {
		syncer.contact = sent
	}
}

// miss notes that the store did not answer a call that was sent at the time.
func (syncer *Syncer) miss(sent time.Time) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	if sent.After(syncer.missed) {
		syncer.missed = sent
	}
}

// mayLend reports whether the store answers this daemon, so that it can carry calls of others out.
func (syncer *Syncer) mayLend() bool {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	return syncer.contact.After(syncer.missed) && syncer.config.Clock.Now().Before(syncer.contact.Add(lendTerm))
}

// contacts returns when the store was last sent a call that it answered, and when that began after a pause.
func (syncer *Syncer) contacts() (last, regained time.Time) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	return syncer.contact, syncer.regained
}

// isInTouch reports whether the store has answered lately, or since the given time could not yet have.
func (syncer *Syncer) isInTouch(since time.Time) bool {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	now := syncer.config.Clock.Now()
	return now.Before(syncer.contact.Add(contactTerm)) || now.Before(since.Add(contactTerm+renewInterval))
}

// note logs when a dependency is lost or regained.
func (syncer *Syncer) note(dependency string, err error) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	log := syncer.config.Log.WithField("dependency", dependency)
	switch {
	case err != nil && !syncer.lost[dependency]:
		syncer.lost[dependency] = true
		log.WithError(err).Warn("Store is lost.")
	case err == nil && syncer.lost[dependency]:
		delete(syncer.lost, dependency)
		log.Info("Store is back.")
	}
}
