package throttler

import (
	"math"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// demandHalfLife is the time in which the measured demand of a workspace halves: demand that moves between zones is followed within a second.
	demandHalfLife = 700 * time.Millisecond
	// horizon is the time for which a daemon wants credits: a report, and what its demand varies.
	horizon = time.Second
	// wantedStep is the precision of what a daemon wants, so that a report seldom changes. A single request is not a demand for a credit to hold.
	wantedStep = 0.5
	// maxInFlight is how long a request counts as one that may still be refused without having run.
	maxInFlight = 1500 * time.Millisecond
	// fleetTerm is how long a greater fleet counts after daemons have left it: restarts and lost registrations last some seconds.
	fleetTerm = 15 * time.Second
	// minRetryDelay is the shortest delay after which a refused request may find room: a report and its answer.
	minRetryDelay = 250 * time.Millisecond
)

// Config holds the settings of a Throttler.
type Config struct {
	// Rules state how many requests are permitted in a window.
	Rules lagoonlanding.QuotaRules
	// StartedAt is when the daemon started: what an earlier process used of its reserve is not known for one window.
	StartedAt time.Time
	// Daemons returns the number of daemons in the fleet.
	Daemons func() int
	// Meter records the decisions; nil records nothing.
	Meter lagoonlanding.QuotaMeter
}

// Throttler holds the credits of one daemon; it is safe for concurrent use.
type Throttler struct {
	config Config
	// wanting receives a value when a workspace has used its last credit.
	wanting chan struct{}

	mutex   sync.Mutex
	buckets map[string]*bucket
	// until is when the lease of the credits ends.
	until time.Time
	// mostDaemons is the greatest number of daemons that the fleet had until mostUntil.
	mostDaemons int
	mostUntil   time.Time
	// reporter is the daemon that answered the last report, empty if that was not answered.
	reporter string
}

var _ lagoonlanding.Quota = (*Throttler)(nil)

// New returns a throttler without credits.
func New(config Config) *Throttler {
	return &Throttler{config: config, wanting: make(chan struct{}, 1), buckets: map[string]*bucket{}}
}

// Wanting returns a channel that receives a value when a workspace has used its last credit.
func (throttler *Throttler) Wanting() <-chan struct{} { return throttler.wanting }

// The decisions that are recorded.
const (
	decisionLeased  = "leased"
	decisionReserve = "reserve"
	decisionRelayed = "relayed"
	decisionRefused = "refused"
)

// Take returns a credit for one try, or when there will be room.
func (throttler *Throttler) Take(now time.Time, workspace lagoonlanding.Workspace) (lagoonlanding.Credit, time.Time, bool) {
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	bucket := throttler.bucket(workspace.Name())
	if reserve := throttler.reserve(now, workspace); reserve > 0 && bucket.reserveUsed(now, throttler.window()) < reserve {
		throttler.record(workspace, decisionReserve)
		return bucket.newCredit(throttler, now, true), time.Time{}, true
	}
	// Only what exceeds the reserve is leased by demand.
	throttler.observe(now, bucket)
	if credit := throttler.takeHeld(now, bucket, workspace); credit != nil {
		return credit, time.Time{}, true
	}
	return nil, throttler.retryAt(now, bucket, workspace), false
}

// TakeRelayed is Take for a request that another daemon has relayed: it uses none of the daemon's reserve, and is not a demand of this daemon.
func (throttler *Throttler) TakeRelayed(now time.Time, workspace lagoonlanding.Workspace) (lagoonlanding.Credit, time.Time, bool) {
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	bucket := throttler.bucket(workspace.Name())
	if credit := throttler.takeHeld(now, bucket, workspace); credit != nil {
		return credit, time.Time{}, true
	}
	throttler.record(workspace, decisionRefused)
	return nil, throttler.retryAt(now, bucket, workspace), false
}

// Deposit adds a credit of the zone's pool for a relayed request.
func (throttler *Throttler) Deposit(workspace string) {
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	throttler.bucket(workspace).held++
}

// Relay returns the reporter of the zone if that has credits left, by what it told last; otherwise the request is refused.
func (throttler *Throttler) Relay(workspace lagoonlanding.Workspace) (string, bool) {
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	bucket := throttler.bucket(workspace.Name())
	if throttler.reporter == "" || bucket.spare == 0 {
		throttler.record(workspace, decisionRefused)
		return "", false
	}
	bucket.spare--
	throttler.record(workspace, decisionRelayed)
	return throttler.reporter, true
}

// observe counts a request that needs a lease.
func (throttler *Throttler) observe(now time.Time, bucket *bucket) {
	bucket.demand.observe(now)
	throttler.signal(now, bucket)
}

// takeHeld returns a credit that the daemon holds, nil if there is none.
func (throttler *Throttler) takeHeld(now time.Time, bucket *bucket, workspace lagoonlanding.Workspace) lagoonlanding.Credit {
	if !now.Before(throttler.until) || bucket.held == 0 {
		return nil
	}
	bucket.held--
	throttler.record(workspace, decisionLeased)
	return bucket.newCredit(throttler, now, false)
}

// retryAt returns when there will be room for a request that is refused or relayed now.
func (throttler *Throttler) retryAt(now time.Time, bucket *bucket, workspace lagoonlanding.Workspace) time.Time {
	return bucket.retryAt(now, workspace.Rate()/float64(max(throttler.config.Daemons(), 1)))
}

// reserve returns how many requests of a workspace the daemon may send in one window without a lease.
func (throttler *Throttler) reserve(now time.Time, workspace lagoonlanding.Workspace) int {
	if now.Before(throttler.config.StartedAt.Add(throttler.window())) {
		return 0
	}
	return throttler.config.Rules.Reserve(workspace, throttler.daemons(now))
}

// daemons returns the greatest number of daemons that the fleet had recently: while registrations are lost, the same limit must not be divided among
// fewer daemons than use it.
func (throttler *Throttler) daemons(now time.Time) int {
	current := throttler.config.Daemons()
	if current >= throttler.mostDaemons || now.After(throttler.mostUntil) {
		throttler.mostDaemons, throttler.mostUntil = current, now.Add(fleetTerm)
	}
	return throttler.mostDaemons
}

func (throttler *Throttler) window() time.Duration {
	return time.Duration(throttler.config.Rules.WindowSeconds() * float64(time.Second))
}

// Lines returns the credits that the daemon holds and wants. Credits whose lease ends within the margin are given up.
func (throttler *Throttler) Lines(now time.Time, margin time.Duration) map[string]lagoonlanding.QuotaLine {
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	isExpired := !now.Before(throttler.until.Add(-margin))
	lines := map[string]lagoonlanding.QuotaLine{}
	for name, bucket := range throttler.buckets {
		if isExpired {
			bucket.giveUp()
		}
		inFlight := bucket.countInFlight(now)
		bucket.reported = bucket.wanted(now)
		wanted := float64(inFlight) + bucket.reported
		if bucket.held+inFlight > 0 || wanted > 0 || bucket.givenUp > 0 {
			lines[name] = lagoonlanding.NewQuotaLine(name, bucket.held+inFlight, wanted).WithGivenUp(bucket.givenUp)
			bucket.givenUp = 0
		} else if bucket.told == 0 && bucket.reserveUsed(now, throttler.window()) == 0 {
			delete(throttler.buckets, name)
		}
	}
	return lines
}

// Apply applies the reporter's answer to the report that was sent at the given time.
func (throttler *Throttler) Apply(now, sent time.Time, reporter string, answer lagoonlanding.QuotaAnswer) {
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	if answer.IsReset() || !answer.ValidUntil(sent).After(sent) {
		throttler.forgetReporter()
		return
	}
	if until := answer.ValidUntil(sent); until.After(throttler.until) {
		throttler.until = until
	}
	if throttler.reporter != reporter {
		throttler.forgetReporter()
		throttler.reporter = reporter
	}
	for _, grant := range answer.Grants() {
		bucket := throttler.bucket(grant.Workspace())
		bucket.change(grant.Change())
		bucket.told = grant.Spare()
		bucket.recordGrant(now, max(grant.Change(), 0))
	}
	for _, bucket := range throttler.buckets {
		bucket.spare = bucket.told
	}
}

// Unanswered records that the last reports were not answered: no requests are relayed until one is.
func (throttler *Throttler) Unanswered() {
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	throttler.forgetReporter()
}

func (throttler *Throttler) forgetReporter() {
	throttler.reporter = ""
	for _, bucket := range throttler.buckets {
		bucket.told, bucket.spare = 0, 0
	}
}

func (throttler *Throttler) bucket(workspace string) *bucket {
	known, ok := throttler.buckets[workspace]
	if !ok {
		known = &bucket{}
		throttler.buckets[workspace] = known
	}
	return known
}

// signal asks for an early report when a bucket is empty and needs clearly more than the last report said. A workspace that is refused all the
// time causes no further reports.
func (throttler *Throttler) signal(now time.Time, bucket *bucket) {
	if bucket.held > 0 || bucket.spare > 1 || bucket.wanted(now) <= bucket.reported*5/4+1 {
		return
	}
	select {
	case throttler.wanting <- struct{}{}:
	default:
	}
}

func (throttler *Throttler) record(workspace lagoonlanding.Workspace, decision string) {
	if throttler.config.Meter != nil {
		throttler.config.Meter.Counted(workspace.Name(), decision)
	}
}

// bucket holds what one daemon has and needs for one workspace.
type bucket struct {
	held int
	// givenUp are the credits that the bucket has given up since its last report.
	givenUp int
	// reported is what the bucket wanted at the last report.
	reported float64
	// told is how many requests the reporter of the zone said that it could take, and spare how many of them are left until the next answer.
	told, spare int
	// inFlight are the credits of requests that have not ended.
	inFlight []*credit
	// reserved are the credits of the reserve that count in the current window.
	reserved []*credit
	demand   rate
	granted  rate
	// nextRetry is when the last refused request was told to return.
	nextRetry time.Time
}

// wanted returns the credits that the bucket expects to use until the next reports have been answered.
func (bucket *bucket) wanted(now time.Time) float64 {
	return math.Floor(bucket.demand.perSecond(now)*horizon.Seconds()/wantedStep) * wantedStep
}

// change applies a grant; credits that are taken away are reported as given up.
func (bucket *bucket) change(credits int) {
	if credits < 0 {
		credits = -min(bucket.held, -credits)
		bucket.givenUp -= credits
	}
	bucket.held += credits
}

// giveUp discards all credits; those of requests that have not ended can no longer be returned.
func (bucket *bucket) giveUp() {
	bucket.held, bucket.givenUp = 0, 0
	for _, credit := range bucket.inFlight {
		credit.isSettled = true
	}
	bucket.inFlight = nil
}

// countInFlight returns the number of requests that have not ended; those that take long count as received by a backend server.
func (bucket *bucket) countInFlight(now time.Time) int {
	kept := bucket.inFlight[:0]
	for _, credit := range bucket.inFlight {
		if !credit.isSettled && now.Sub(credit.taken) <= maxInFlight {
			kept = append(kept, credit)
		} else {
			credit.isSettled = true
		}
	}
	clear(bucket.inFlight[len(kept):])
	bucket.inFlight = kept
	return len(kept)
}

// reserveUsed returns the number of requests in the current window that used the reserve, with those that have not ended.
func (bucket *bucket) reserveUsed(now time.Time, window time.Duration) int {
	kept := bucket.reserved[:0]
	for _, credit := range bucket.reserved {
		if !credit.isReturned && (!credit.isSettled || now.Sub(credit.settled) <= window) {
			kept = append(kept, credit)
		}
	}
	clear(bucket.reserved[len(kept):])
	bucket.reserved = kept
	return len(kept)
}

func (bucket *bucket) recordGrant(now time.Time, credits int) {
	for range credits {
		bucket.granted.observe(now)
	}
}

// maxRetryDelay bounds the delay that a refused request is told: the demand of others may fall meanwhile.
const maxRetryDelay = 3 * time.Second

// retryAt returns when there will be room: refused requests return one by one at the rate at which the daemon receives credits, at least its
// equal part of the workspace's rate.
func (bucket *bucket) retryAt(now time.Time, equalRate float64) time.Time {
	earliest := now.Add(minRetryDelay)
	if bucket.nextRetry.Before(earliest) {
		bucket.nextRetry = earliest
		return earliest
	}
	perSecond := max(bucket.granted.perSecond(now), equalRate, 1/maxRetryDelay.Seconds())
	bucket.nextRetry = bucket.nextRetry.Add(time.Duration(float64(time.Second) / perSecond))
	if latest := now.Add(maxRetryDelay); bucket.nextRetry.After(latest) {
		bucket.nextRetry = latest
	}
	return bucket.nextRetry
}

// credit permits one try of a request.
type credit struct {
	throttler  *Throttler
	bucket     *bucket
	taken      time.Time
	settled    time.Time
	isReserve  bool
	isSettled  bool
	isReturned bool
}

func (bucket *bucket) newCredit(throttler *Throttler, now time.Time, isReserve bool) *credit {
	created := &credit{throttler: throttler, bucket: bucket, taken: now, isReserve: isReserve}
	if isReserve {
		bucket.reserved = append(bucket.reserved, created)
	} else {
		bucket.inFlight = append(bucket.inFlight, created)
	}
	return created
}

// Spend records that a backend server received the try, or may have received it.
func (credit *credit) Spend(now time.Time) {
	credit.throttler.mutex.Lock()
	defer credit.throttler.mutex.Unlock()
	credit.settle(now)
}

// Return gives back the credit of a request that no backend server received; after maxInFlight, it is counted as used.
func (credit *credit) Return(now time.Time) {
	credit.throttler.mutex.Lock()
	defer credit.throttler.mutex.Unlock()
	isKept := !credit.isSettled && now.Sub(credit.taken) <= maxInFlight
	if !credit.settle(now) {
		return
	}
	if credit.isReserve {
		credit.isReturned = true
	} else if isKept && now.Before(credit.throttler.until) {
		credit.bucket.held++
	}
}

// settle records that the request has ended; it returns false if it had ended before.
func (credit *credit) settle(now time.Time) bool {
	if credit.isSettled {
		return false
	}
	credit.isSettled, credit.settled = true, now
	return true
}

// rate is a number of events per second that decays by half in demandHalfLife.
type rate struct {
	value float64
	at    time.Time
}

func (rate *rate) observe(now time.Time) {
	rate.value, rate.at = rate.perSecond(now)+math.Ln2/demandHalfLife.Seconds(), now
}

func (rate *rate) perSecond(now time.Time) float64 {
	return rate.value * math.Exp2(-now.Sub(rate.at).Seconds()/demandHalfLife.Seconds())
}
