package apportioner

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// PoolConfig holds the settings of a Pool.
type PoolConfig struct {
	// SpreadShare is the fraction of the credits that nobody wants which is divided among the holders beforehand.
	SpreadShare float64
	// RoundsUp means that a holder gets a whole credit for a fraction; otherwise, what remains is left in the pool, to which requests are relayed.
	RoundsUp bool
}

// Pool divides credits among holders; it belongs to one goroutine.
type Pool struct {
	config   PoolConfig
	holders  map[holderID]*holder
	accounts map[string]*account
}

// holderID identifies one process of a daemon.
type holderID struct {
	daemon   string
	instance uint64
}

// holder is a daemon, or the reporter of a zone, that holds credits of the pool.
type holder struct {
	sequence uint64
	// since is when the pool last learned of credits that it has not granted itself.
	since time.Time
	// until is when the leases of its credits have ended, whatever it received.
	until time.Time
	// votes are what its last report said.
	votes []lagoonlanding.QuotaVote
	// told are the spare credits that it was told of by workspace.
	told map[string]int
}

// account holds the credits of one workspace.
type account struct {
	free int
	// givenUp are the credits that the pool has given up since its last report.
	givenUp int
	lines   map[holderID]line
	// held and wants are the sums of the lines.
	held  int
	wants float64
}

// line is what a holder has and needs of a workspace.
type line struct {
	outstanding int
	wanted      float64
}

// NewPool returns a pool without credits.
func NewPool(config PoolConfig) *Pool {
	return &Pool{config: config, holders: map[holderID]*holder{}, accounts: map[string]*account{}}
}

// Free returns the number of credits of the workspace that no holder has.
func (pool *Pool) Free(workspace string) int {
	if account, ok := pool.accounts[workspace]; ok {
		return account.free
	}
	return 0
}

// Outstanding returns the number of credits of the workspace that may exist, in the pool and at its holders.
func (pool *Pool) Outstanding(workspace string) int {
	account, ok := pool.accounts[workspace]
	if !ok {
		return 0
	}
	return account.total()
}

// Add adds credits of the workspace that no holder has.
func (pool *Pool) Add(workspace string, credits int) { pool.account(workspace).free += credits }

// GiveUp removes credits of the workspace that no holder has, at most the given number, and reports them as given up.
func (pool *Pool) GiveUp(workspace string, credits int) {
	account := pool.account(workspace)
	credits = min(credits, account.free)
	account.free -= credits
	account.givenUp += credits
}

// Discard removes all credits that no holder has.
func (pool *Pool) Discard() {
	for _, account := range pool.accounts {
		account.free, account.givenUp = 0, 0
	}
}

// Lines returns the credits that may exist and those that the holders want, by workspace, for a report; what has been given up is stated once.
func (pool *Pool) Lines() map[string]lagoonlanding.QuotaLine {
	lines := map[string]lagoonlanding.QuotaLine{}
	for name, account := range pool.accounts {
		if outstanding, wanted := account.total(), account.wanted(); outstanding > 0 || wanted > 0 || account.givenUp > 0 {
			lines[name] = lagoonlanding.NewQuotaLine(name, outstanding, wanted).WithGivenUp(account.givenUp)
			account.givenUp = 0
		}
	}
	return lines
}

// Expire removes the holders whose leases have ended.
func (pool *Pool) Expire(now time.Time) {
	for id, holder := range pool.holders {
		if !now.After(holder.until) {
			continue
		}
		delete(pool.holders, id)
		for _, account := range pool.accounts {
			account.set(id, line{})
		}
	}
}

// Forget removes the accounts of workspaces that are not in the configuration any more.
func (pool *Pool) Forget(isKnown func(workspace string) bool) {
	for name := range pool.accounts {
		if !isKnown(name) {
			delete(pool.accounts, name)
		}
	}
}

// Record records a report; it returns false if the holder must send a complete one.
func (pool *Pool) Record(now, until time.Time, report lagoonlanding.QuotaReport) bool {
	id := holderID{daemon: report.Daemon(), instance: report.Instance()}
	known, ok := pool.holders[id]
	switch {
	case ok && report.Sequence() <= known.sequence:
		// A delayed report, whose sender does not wait for the answer any more.
		return false
	case !report.IsComplete() && (!ok || report.Sequence() != known.sequence+1):
		return false
	case !ok:
		known = &holder{told: map[string]int{}}
		pool.holders[id] = known
	}
	if until.After(known.until) {
		known.until = until
	}
	known.sequence, known.votes = report.Sequence(), report.Votes()
	mentioned := map[string]bool{}
	for _, reported := range report.Lines() {
		mentioned[reported.Workspace()] = true
		account := pool.account(reported.Workspace())
		if reported.Outstanding() > account.lines[id].outstanding {
			known.since = now
		}
		// Only credits that were counted at the holder can be given to others.
		account.free += min(reported.GivenUp(), max(account.lines[id].outstanding-reported.Outstanding(), 0))
		account.set(id, line{outstanding: reported.Outstanding(), wanted: reported.Wanted()})
	}
	if report.IsComplete() {
		clear(known.told)
		for name, account := range pool.accounts {
			if !mentioned[name] {
				account.set(id, line{})
			}
		}
	}
	return true
}

// Since returns when the pool last learned of credits of the holder that it has not granted itself.
func (pool *Pool) Since(report lagoonlanding.QuotaReport) time.Time {
	if holder, ok := pool.holders[holderID{daemon: report.Daemon(), instance: report.Instance()}]; ok {
		return holder.since
	}
	return time.Time{}
}

// Grant decides how many credits the sender of a recorded report receives or gives up, and tells it how many are left in the pool.
func (pool *Pool) Grant(report lagoonlanding.QuotaReport) []lagoonlanding.QuotaGrant {
	id := holderID{daemon: report.Daemon(), instance: report.Instance()}
	told := pool.holders[id].told
	var grants []lagoonlanding.QuotaGrant
	for name, account := range pool.accounts {
		change := account.grant(id, len(pool.holders), pool.config)
		spare := account.spare()
		if change != 0 || spare != told[name] {
			grants = append(grants, lagoonlanding.NewQuotaGrant(name, change, spare))
		}
		if told[name] = spare; spare == 0 {
			delete(told, name)
		}
	}
	return grants
}

// Untold records that the sender of a recorded report forgets the spare credits that it was told of.
func (pool *Pool) Untold(report lagoonlanding.QuotaReport) {
	clear(pool.holders[holderID{daemon: report.Daemon(), instance: report.Instance()}].told)
}

// Draw moves a credit from the pool to a holder; it returns false if none is left.
func (pool *Pool) Draw(daemon string, instance uint64, workspace string) bool {
	id := holderID{daemon: daemon, instance: instance}
	account, ok := pool.accounts[workspace]
	if _, isKnown := pool.holders[id]; !ok || !isKnown || account.free == 0 {
		return false
	}
	account.free--
	line := account.lines[id]
	line.outstanding++
	account.set(id, line)
	return true
}

// Votes returns the votes of the holders for the arbiter, by stamp; each holder counts once for the daemons that it reports.
func (pool *Pool) Votes(arbiter string) []lagoonlanding.QuotaVote {
	counts := map[int64]int{}
	for _, holder := range pool.holders {
		for _, vote := range holder.votes {
			if vote.Arbiter() == arbiter {
				counts[vote.Stamp()] += vote.Daemons()
			}
		}
	}
	var votes []lagoonlanding.QuotaVote
	for stamp, count := range counts {
		votes = append(votes, lagoonlanding.NewQuotaVote(arbiter, stamp, count))
	}
	return votes
}

// Holders returns the number of holders whose leases have not ended.
func (pool *Pool) Holders() int { return len(pool.holders) }

func (pool *Pool) account(workspace string) *account {
	known, ok := pool.accounts[workspace]
	if !ok {
		known = &account{lines: map[holderID]line{}}
		pool.accounts[workspace] = known
	}
	return known
}

func (account *account) set(id holderID, line line) {
	previous := account.lines[id]
	account.held += line.outstanding - previous.outstanding
	account.wants += line.wanted - previous.wanted
	if line.outstanding == 0 && line.wanted == 0 {
		delete(account.lines, id)
		return
	}
	account.lines[id] = line
}

// total returns the number of credits that may exist.
func (account *account) total() int { return account.free + account.held }

// wanted returns how many credits all holders want.
func (account *account) wanted() float64 { return account.wants }

// spare returns how many requests a holder may relay to the pool until its next report, rounded up to a power of four, so that it seldom changes. One
// is worth a try also while the pool is empty, since credits may arrive any time.
func (account *account) spare() int {
	if account.free > 1 {
		return 1 << ((bits.Len(uint(account.free-1)) + 1) &^ 1)
	}
	return min(account.total(), 1)
}

// tolerance is the part of its share by which a holder may exceed it before it gives credits up.
const tolerance = 4

// grant moves credits between the pool and a holder according to its share, and returns the change for the holder.
func (account *account) grant(id holderID, holders int, config PoolConfig) int {
	current := account.lines[id]
	share := account.share(current, holders, config)
	// While the pool is nearly empty, a holder keeps no credit beyond its share.
	isScarce := float64(account.free) < lowFloor*(float64(account.total())-account.wanted()) || account.wanted() > float64(account.total())
	change := 0
	switch {
	case current.outstanding < share:
		change = min(share-current.outstanding, account.free)
		account.free -= change
		current.outstanding += change
		account.set(id, current)
	case current.outstanding > share+share/tolerance+1 || (isScarce && current.outstanding > share):
		// The credits stay counted at the holder until it reports that it has given them up.
		change = share - current.outstanding
	}
	return change
}

// minShare is the share from which a daemon holds credits: one that expects a single request soon may not send it, while others of its zone do.
const minShare = 1.5

// lowFloor is the fraction of unwanted credits below which the pool takes credits back from holders that exceed their share.
const lowFloor = 0.3

// share returns how many credits a holder should have: what it wants and a part of what nobody wants, or else its max-min fair share.
func (account *account) share(current line, holders int, config PoolConfig) int {
	total, wanted := float64(account.total()), account.wanted()
	share := current.wanted
	if wanted > total {
		share = min(share, account.level(total))
	} else {
		part := 1 / float64(max(holders, 1))
		if config.RoundsUp && wanted > 0 {
			// Half of it goes to all zones alike, and half to those that want most.
			part = (part + current.wanted/wanted) / 2
		}
		share += (total - wanted) * config.SpreadShare * part
	}
	if config.RoundsUp {
		return int(math.Ceil(share))
	}
	if share < minShare {
		return 0
	}
	return int(share)
}

// level returns the max-min fair share of the total: no holder that wants more gets less than another.
func (account *account) level(total float64) float64 {
	wants := make([]float64, 0, len(account.lines))
	for _, line := range account.lines {
		if line.wanted > 0 {
			wants = append(wants, line.wanted)
		}
	}
	slices.Sort(wants)
	for index, want := range wants {
		if left := float64(len(wants) - index); want*left > total {
			return total / left
		}
		total -= want
	}
	return total
}
