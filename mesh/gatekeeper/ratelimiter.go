package gatekeeper

import "time"

// rateLimiter spaces the tasks of a cold backend server evenly.
type rateLimiter struct {
	warmAt time.Time
	rate   float64
	// nextAt is when the next task may pass.
	nextAt time.Time
}

// configure sets when the backend server is warm and how many tasks per second it accepts until then.
func (ratelimiter *rateLimiter) configure(now, warmAt time.Time, rate float64) {
	if rate <= 0 {
		warmAt = time.Time{}
	}
	if !ratelimiter.isCold(now) {
		ratelimiter.nextAt = now
	}
	ratelimiter.warmAt, ratelimiter.rate = warmAt, rate
}

func (ratelimiter *rateLimiter) isCold(now time.Time) bool { return now.Before(ratelimiter.warmAt) }

// spacing returns the time between two tasks, zero without a limit.
func (ratelimiter *rateLimiter) spacing(now time.Time) time.Duration {
	if !ratelimiter.isCold(now) {
		return 0
	}
	return time.Duration(float64(time.Second) / ratelimiter.rate)
}

// allow reports whether a task may pass now, and counts it if so.
func (ratelimiter *rateLimiter) allow(now time.Time) bool {
	if !ratelimiter.isCold(now) {
		return true
	}
	if now.Before(ratelimiter.nextAt) {
		return false
	}
	ratelimiter.nextAt = now.Add(ratelimiter.spacing(now))
	return true
}

// next returns when the next task may pass, or the zero time if one may pass now.
func (ratelimiter *rateLimiter) next(now time.Time) time.Time {
	if !ratelimiter.isCold(now) || !now.Before(ratelimiter.nextAt) {
		return time.Time{}
	}
	if ratelimiter.nextAt.After(ratelimiter.warmAt) {
		return ratelimiter.warmAt
	}
	return ratelimiter.nextAt
}

// startTime returns when a task may pass that would get a slot at slotAt and has the given number of tasks ahead of it.
func (ratelimiter *rateLimiter) startTime(now time.Time, ahead int, slotAt time.Time) time.Time {
	if !ratelimiter.isCold(now) {
		return slotAt
	}
	at := ratelimiter.nextAt.Add(time.Duration(float64(ahead) * float64(time.Second) / ratelimiter.rate))
	if at.After(ratelimiter.warmAt) {
		at = ratelimiter.warmAt
	}
	if at.After(slotAt) {
		return at
	}
	return slotAt
}
