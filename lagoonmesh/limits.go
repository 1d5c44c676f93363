package main

import "time"

const (
	// verificationTerm is how long ranges may be assigned after the registration was last verified; it outlasts most outages of the store.
	verificationTerm = 7 * time.Second
	// expiryMargin covers a backend server's clock that is 2% slow over the verification term, and delayed changes from the store.
	expiryMargin = 700 * time.Millisecond
	// maxAssignmentTerm is how long a backend server owns ranges without a further announcement; the daemon can restart within it.
	maxAssignmentTerm = 6 * time.Second
	// maxClockDrift is the fraction by which a backend server's clock may be slow, as documented by the platform.
	maxClockDrift = 0.02
	// announcementTimeout is the time without announcements after which a backend server counts as failed; announcements may be seconds late.
	announcementTimeout = 5 * time.Second
	// maxWatchTerm is the maximum duration of a watch of the store, which allows 30 s.
	maxWatchTerm = 29 * time.Second
	// watchHistoryShare is the fraction of the store's history that a watch may last.
	watchHistoryShare = 0.75
	// dialTimeout limits the time to open a connection; the longest round trip takes about 20 ms.
	dialTimeout = 700 * time.Millisecond
	// idleTimeout is how long an idle connection is kept open; backend servers close theirs after ten seconds.
	idleTimeout = 8 * time.Second
	// silenceTimeout is how long sent bytes may stay unacknowledged.
	silenceTimeout = 3 * time.Second
	// controlSilenceTimeout is that time on connections to the store and for control calls: a watch that has gone silent must be replaced, and
	// what it missed passed on, within the three seconds in which a daemon is not expected to be up to date.
	controlSilenceTimeout = time.Second
	// controlSilenceProbes is the number of keep-alive probes on these connections: a lost probe costs no more than a new connection.
	controlSilenceProbes = 1
	// maxIdleConnections limits the idle connections per address.
	maxIdleConnections = 16
	// sweepInterval is the interval at which expired idle connections are closed.
	sweepInterval = 2 * time.Second
	// maxWaitingTasks limits the tasks that wait for a slot.
	maxWaitingTasks = 64
	// maxFirstTasks limits the tasks that run before the backend server has responded for the first time: they may exceed a limit that it named
	// to an earlier process of the daemon, by less than the five tasks that the platform allows.
	maxFirstTasks = 3
	// zoneCost is the additional response time that is accepted to avoid another zone.
	zoneCost = 20 * time.Millisecond
	// regionCost is the additional response time that is accepted to avoid another region, whose link is billed by volume.
	regionCost = 400 * time.Millisecond
	// queueHalfLife is the age at which a reported queue length has half its weight: a few times the run time of a task.
	queueHalfLife = 2 * time.Second
	// runTimeHalfLife is the age at which a reported run time has half its weight: other load on an instance lasts for seconds.
	runTimeHalfLife = 8 * time.Second
	// avoidTerm is how long a daemon is avoided after it could not be reached.
	avoidTerm = time.Second
	// retryBudgetShare is the fraction of the allowed retries that the router uses, which leaves room for retries that are counted elsewhere.
	retryBudgetShare = 0.6
	// defaultRetryBudgetRatio is the number of retries per request if the platform sets no limit.
	defaultRetryBudgetRatio = 0.1
	// drainDivisor is the ratio of the platform's drain limit to the time in which a draining backend server still gets tasks for its keys: on a
	// busy instance a task may take half a second from its admission to the backend server.
	drainDivisor = 2
	// evacuateDivisor is the ratio of the platform's evacuation limit to the time in which a backend server in an evacuated zone still gets
	// tasks for its keys: these move within two announcements, and the evacuation takes up to two seconds to reach the daemon.
	evacuateDivisor = 3
	// defaultShutdownTimeout is the time to exit after SIGTERM if the platform sets none.
	defaultShutdownTimeout = 6 * time.Second
)
