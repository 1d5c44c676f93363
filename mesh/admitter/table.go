package admitter

import (
	"math"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// freshAge is the age up to which a level counts in full, and maxAge that from which it does not count: the load of a gate follows bursts and
	// slow machines within a second.
	freshAge, maxAge = 300 * time.Millisecond, time.Second
	// probeShare is the share of tasks beyond a level that are sent nevertheless: they find room that appeared since, and no rank starves.
	probeShare = 1.0 / 16
	// refusalHalfLife is the age at which a refusal by a service has half its weight.
	refusalHalfLife = time.Second
	// priorRefusals is the weight of the recent refusals of a service against those of one request.
	priorRefusals = 2
	// priorSent is the weight of the assumption that a service without recent tasks has room.
	priorSent = 2
	// maxFullShare is the estimated share of full servers from which a request asks no further one. Without recent refusals it is reached after
	// twelve servers, the former constant; with nine of ten refused it is reached after one.
	maxFullShare = 0.97
	// minReturnDelay is the shortest delay after which a refused client is told to return.
	minReturnDelay = 50 * time.Millisecond
	// honouredShare is the share of the time left to a client up to which it honours Retry-After.
	honouredShare = 1.0 / 3
	// spreadShare is the part of the remaining time over which returns are spread.
	spreadShare = 0.25
)

// Table holds what an origin daemon knows about the admission of other daemons; it is safe for concurrent use.
//
// Load: one daemon sends few tasks a second to each server, so a level is often old. An old level is raised and then ignored, and the number of
// servers that a refused task asks follows from the refusals of the whole service.
type Table struct {
	random func() float64

	mutex    sync.Mutex
	daemons  map[string]levelReport
	services map[place]*refusalShare
}

// place is a service in a region.
type place struct{ service, region string }

// levelReport is the level that a daemon returned, with the time at which it was received.
type levelReport struct {
	level lagoonlanding.AdmissionLevel
	at    time.Time
}

// refusalShare is the decayed number of tasks sent to a service and of those refused.
type refusalShare struct {
	sent, refused float64
	at            time.Time
}

// NewTable returns a table without levels; random returns numbers in [0, 1).
func NewTable(random func() float64) *Table {
	return &Table{random: random, daemons: map[string]levelReport{}, services: map[place]*refusalShare{}}
}

// Report records the level that the daemon of a backend server returned with a result, and whether its gate refused the task.
func (table *Table) Report(now time.Time, backend lagoonlanding.Backend, load lagoonlanding.Load, refused bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if load.Slots() > 0 {
		table.daemons[backend.ID().Daemon()] = levelReport{level: load.Level(), at: now}
	}
	share := table.share(now, place{service: backend.Service(), region: backend.Region()})
	share.sent++
	if refused {
		share.refused++
	}
}

func (table *Table) share(now time.Time, at place) *refusalShare {
	share, ok := table.services[at]
	if !ok {
		share = &refusalShare{at: now}
		table.services[at] = share
	}
	factor := math.Exp2(-now.Sub(share.at).Seconds() / refusalHalfLife.Seconds())
	share.sent, share.refused, share.at = share.sent*factor, share.refused*factor, now
	return share
}

// Admitting returns the candidates whose level admits the rank, all of them for a task that probes.
func (table *Table) Admitting(now time.Time, rank Rank, candidates []lagoonlanding.Backend) []lagoonlanding.Backend {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	admitting := make([]lagoonlanding.Backend, 0, len(candidates))
	for _, candidate := range candidates {
		if rank.IsAdmitted(table.level(now, candidate.ID().Daemon())) {
			admitting = append(admitting, candidate)
		}
	}
	if len(admitting) == 0 && table.random() < probeShare {
		return candidates
	}
	return admitting
}

// Admits reports whether the level of a daemon admits the rank.
func (table *Table) Admits(now time.Time, rank Rank, daemon string) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return rank.IsAdmitted(table.level(now, daemon))
}

// Probes reports whether a task beyond all levels is sent nevertheless.
func (table *Table) Probes() bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.random() < probeShare
}

// level returns the level of a daemon at its age, zero if all ranks are admitted or none is known.
func (table *Table) level(now time.Time, daemon string) lagoonlanding.AdmissionLevel {
	report, ok := table.daemons[daemon]
	if !ok || report.level == 0 {
		return 0
	}
	age := now.Sub(report.at)
	switch {
	case age <= freshAge:
		return report.level
	case age >= maxAge:
		return 0
	}
	part := float64(age-freshAge) / float64(maxAge-freshAge)
	return report.level + lagoonlanding.AdmissionLevel(part*float64(ranks-min(int(report.level), ranks)))
}

// Highest returns the highest level that the candidates returned, and its age; both are zero if none is known.
func (table *Table) Highest(now time.Time, candidates []lagoonlanding.Backend) (lagoonlanding.AdmissionLevel, time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	var highest levelReport
	for _, candidate := range candidates {
		if report, ok := table.daemons[candidate.ID().Daemon()]; ok && report.level >= highest.level {
			highest = report
		}
	}
	if highest.at.IsZero() {
		return 0, 0
	}
	return highest.level, now.Sub(highest.at)
}

// AsksMore reports whether a task that was refused by the given number of servers of a service in a region asks a further one there.
func (table *Table) AsksMore(now time.Time, service, region string, refusals int) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	share := table.share(now, place{service: service, region: region})
	// The refusals of this request are counted once only.
	own := float64(refusals)
	recent := max(share.refused-own, 0) / (max(share.sent-own, 0) + priorSent)
	full := (recent*priorRefusals + float64(refusals)) / float64(priorRefusals+refusals)
	return full < maxFullShare
}

// ReturnAt returns when a refused client is told to return: not before there is room, at most after the part of its time for which it honours
// Retry-After, and spread over the first half of the time between, so that those refused together do not return together.
func (table *Table) ReturnAt(now, roomAt, deadline time.Time) time.Time {
	latest := now.Add(time.Duration(float64(deadline.Sub(now)) * honouredShare))
	earliest := now.Add(minReturnDelay)
	if roomAt.After(earliest) {
		earliest = roomAt
	}
	if !earliest.Before(latest) {
		return latest
	}
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return earliest.Add(time.Duration(table.random() * float64(latest.Sub(earliest)) * spreadShare))
}

// Forget removes the levels of daemons that are no longer in the fleet.
func (table *Table) Forget(isKnown func(daemon string) bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	for daemon := range table.daemons {
		if !isKnown(daemon) {
			delete(table.daemons, daemon)
		}
	}
}
