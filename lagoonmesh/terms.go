package main

import "time"

const (
	// grantTerm is how long keys are granted after the last proof of registration: longer than most outages of the store.
	grantTerm = 7 * time.Second
	// grantMargin covers a backend server's clock that runs 2% slow over the term, and news that is late.
	grantMargin = 700 * time.Millisecond
	// longestHold is how long a backend server holds keys without a further announcement: a restart of the daemon fits in.
	longestHold = 6 * time.Second
	// slowClock is by how much a backend server's clock may run slow, as the platform's pages state.
	slowClock = 0.02
	// silentAfter is when a backend server without announcements counts as lost; announcements may be seconds late.
	silentAfter = 5 * time.Second
	// longestWatch is how long a watch of the store waits at most; the store allows 30 s.
	longestWatch = 29 * time.Second
	// watchPart is the part of the store's history that a watch waits at most.
	watchPart = 0.75
	// dialTerm bounds the opening of a connection; the longest way there and back takes about 20 ms.
	dialTerm = 700 * time.Millisecond
	// idleTerm is how long an idle connection is kept; backend servers close theirs after ten seconds.
	idleTerm = 8 * time.Second
	// silenceTerm is how long sent bytes may stay unacknowledged.
	silenceTerm = 3 * time.Second
	// maxIdle bounds the idle connections to one address.
	maxIdle = 16
	// sweepInterval is the time between two looks for idle connections that have expired.
	sweepInterval = 2 * time.Second
	// maxWaiting bounds the tasks that wait for a slot.
	maxWaiting = 64
	// zoneCost is the wait that is preferred to an answer from another zone.
	zoneCost = 20 * time.Millisecond
	// regionCost is the wait that is preferred to an answer from another region, whose link is paid by volume.
	regionCost = 400 * time.Millisecond
	// queueHalfLife is the age at which a report of a queue counts half: a few times as long as a task takes.
	queueHalfLife = 2 * time.Second
	// speedHalfLife is the age at which a report of speed counts half: neighbours on an instance stay for seconds.
	speedHalfLife = 8 * time.Second
	// avoidTerm is how long a daemon that could not be reached is avoided.
	avoidTerm = time.Second
	// retryPart is the part of the allowed further tries that the router uses, so that tries counted elsewhere still fit.
	retryPart = 0.6
	// defaultRetryShare is the further tries that each request earns where the platform names no bound.
	defaultRetryShare = 0.1
	// drainPart is the part of the platform's bound, as a divisor, in which a backend server that leaves still gets tasks: on a busy
	// instance a task took half a second from its admission to the backend server.
	drainPart = 2
	// evacuatePart is the part of the platform's bound, as a divisor, in which a backend server in an evacuated zone still gets tasks for its
	// keys: they move within two announcements, and the word of the evacuation takes up to two seconds to the daemon.
	evacuatePart = 3
	// defaultGrace is the time to end after SIGTERM where the platform names none.
	defaultGrace = 6 * time.Second
)
