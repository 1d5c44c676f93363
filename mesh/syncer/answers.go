package syncer

import "time"

// recordAnswer records that the store answered a call sent at the given time.
func (syncer *Syncer) recordAnswer(sent time.Time) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	if sent.After(syncer.lastAnswered.Add(maxAnswerAge)) {
		syncer.recovered = sent
	}
	if sent.After(syncer.lastAnswered) {
		syncer.lastAnswered = sent
	}
}

// recordFailure records that the store did not answer a call sent at the given time.
func (syncer *Syncer) recordFailure(sent time.Time) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	if sent.After(syncer.lastFailed) {
		syncer.lastFailed = sent
	}
}

// canProxy reports whether the store answers this daemon, so that it can make calls for other daemons.
func (syncer *Syncer) canProxy() bool {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	return syncer.lastAnswered.After(syncer.lastFailed) && syncer.config.Clock.Now().Before(syncer.lastAnswered.Add(maxProxyAnswerAge))
}

// answerTimes returns when the last answered call to the store was sent, and when the first one after an outage was.
func (syncer *Syncer) answerTimes() (last, recovered time.Time) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	return syncer.lastAnswered, syncer.recovered
}

// isStoreAnswering reports whether the store has answered recently, or whether too little time has passed since the given time to tell.
func (syncer *Syncer) isStoreAnswering(since time.Time) bool {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	now := syncer.config.Clock.Now()
	return now.Before(syncer.lastAnswered.Add(maxAnswerAge)) || now.Before(since.Add(maxAnswerAge+renewInterval))
}

// logDependency logs when a dependency fails or recovers.
func (syncer *Syncer) logDependency(dependency string, err error) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	log := syncer.config.Log.WithField("dependency", dependency)
	switch {
	case err != nil && !syncer.failedDependencies[dependency]:
		syncer.failedDependencies[dependency] = true
		log.WithError(err).Warn("Store does not answer.")
	case err == nil && syncer.failedDependencies[dependency]:
		delete(syncer.failedDependencies, dependency)
		log.Info("Store answers again.")
	}
}
