package checker

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Rule names a promise that must always hold.
type Rule string

// The rules.
const (
	// RuleOneOwner says that at most one instance may serve a shard at any time.
	RuleOneOwner Rule = "one-owner"
	// RuleToken says that the fencing tokens of a shard only grow and that no two owners share one.
	RuleToken Rule = "token-grows"
	// RuleOnce says that a non-idempotent request runs at most once.
	RuleOnce Rule = "at-most-once"
	// RuleNotRun says that a request that is refused as not run has not run and will not run.
	RuleNotRun Rule = "not-run-is-true"
	// RuleAnswer says that a caller gets the whole answer to its own request.
	RuleAnswer Rule = "own-answer"
	// RuleRegion says that a request is served and sent within its home regions only.
	RuleRegion Rule = "home-region"
	// RuleSet says that an accepted set never reverts.
	RuleSet Rule = "set-never-reverts"
	// RuleLayout says that each layout follows the one that it names, and that at most two have living leases.
	RuleLayout Rule = "layouts-follow"
	// RuleServed says that all shards are served within a bounded time once all faults are over.
	RuleServed Rule = "served-again"
	// RuleInvariant says that no assertion within the program fails.
	RuleInvariant Rule = "assertion"
	// RuleDrain says that a planned stop cuts no request.
	RuleDrain Rule = "planned-stop"
)

// Violation is one broken promise.
type Violation struct {
	at     time.Duration
	rule   Rule
	detail string
}

// Rule returns the promise that was broken.
func (violation Violation) Rule() Rule { return violation.rule }

// String returns the violation in one line.
func (violation Violation) String() string {
	return fmt.Sprintf("%v %s: %s", violation.at, violation.rule, violation.detail)
}

// maxViolations bounds what is kept of a run that breaks promises again and again.
const maxViolations = 20

// Config holds what a Checker works with.
type Config struct {
	// Now returns the real time since the start.
	Now func() time.Duration
}

// Checker keeps the truth about a fleet.
type Checker struct {
	config     Config
	violations []Violation
	tokens     map[lagoonlanding.ShardID]grant
	running    map[lagoonlanding.ShardID][]*Execution
	runs       map[string]string
	ran        map[string]bool
	notRun     map[string]bool
	sets       map[lagoonlanding.InstanceID]uint64
	layouts    map[lagoonlanding.GroupID]uint64
}

// grant is the newest ownership of a shard that was used.
type grant struct {
	token uint64
	owner lagoonlanding.InstanceID
}

// New returns a checker that has seen nothing.
func New(config Config) *Checker {
	return &Checker{
		config: config, tokens: make(map[lagoonlanding.ShardID]grant),
		running: make(map[lagoonlanding.ShardID][]*Execution), runs: make(map[string]string),
		ran: make(map[string]bool), notRun: make(map[string]bool),
		sets: make(map[lagoonlanding.InstanceID]uint64), layouts: make(map[lagoonlanding.GroupID]uint64),
	}
}

// Violations returns the broken promises in the order in which they were found.
func (checker *Checker) Violations() []Violation { return checker.violations }

// Break notes a broken promise.
func (checker *Checker) Break(rule Rule, format string, arguments ...any) {
	if len(checker.violations) < maxViolations {
		violation := Violation{at: checker.config.Now(), rule: rule, detail: fmt.Sprintf(format, arguments...)}
		checker.violations = append(checker.violations, violation)
	}
}

// Right is an instance's right to serve a shard now, by its own clock and knowledge.
type Right struct {
	shard lagoonlanding.ShardID
	owner lagoonlanding.InstanceID
	token uint64
}

// NewRight returns the right of an instance to serve the shard under the token.
func NewRight(shard lagoonlanding.ShardID, owner lagoonlanding.InstanceID, token uint64) Right {
	return Right{shard: shard, owner: owner, token: token}
}

// MayServe checks the rights that exist at one moment in the whole fleet.
func (checker *Checker) MayServe(rights []Right) {
	owners := make(map[lagoonlanding.ShardID]Right, len(rights))
	for _, right := range rights {
		if other, ok := owners[right.shard]; ok {
			checker.Break(RuleOneOwner, "%s may be served by %s under %d and by %s under %d",
				right.shard, other.owner, other.token, right.owner, right.token)
		}
		owners[right.shard] = right
	}
}

// Dispatched notes that an owner sends a request to its backend server under a token.
func (checker *Checker) Dispatched(fence lagoonlanding.Fence, owner lagoonlanding.InstanceID, others []Right) {
	shard := lagoonlanding.NewShardID(fence.Group(), fence.Shard())
	for _, other := range others {
		checker.Break(RuleOneOwner, "%s is served by %s under %d while %s may serve it under %d",
			shard, owner, fence.Token(), other.owner, other.token)
	}
	last := checker.tokens[shard]
	if fence.Token() < last.token || fence.Token() == last.token && owner != last.owner {
		checker.Break(RuleToken, "%s is served by %s under %d after %s under %d", shard, owner, fence.Token(), last.owner, last.token)
	}
	if fence.Token() >= last.token {
		checker.tokens[shard] = grant{token: fence.Token(), owner: owner}
	}
}

// SetSeen notes which published set an instance applies.
func (checker *Checker) SetSeen(instance lagoonlanding.InstanceID, version uint64) {
	if version < checker.sets[instance] {
		checker.Break(RuleSet, "%s applies set %d after %d", instance, version, checker.sets[instance])
	}
	checker.sets[instance] = version
}

// Wrote notes a group's record that the store has taken.
func (checker *Checker) Wrote(record lagoonlanding.Record) {
	last := checker.layouts[record.Group()]
	if record.Version() != last+1 || record.Prior().Version() != last {
		checker.Break(RuleLayout, "%s has layout %d with prior %d after %d",
			record.Group(), record.Version(), record.Prior().Version(), last)
	}
	checker.layouts[record.Group()] = record.Version()
}

// Newest returns the version of the group's newest layout in the store.
func (checker *Checker) Newest(group lagoonlanding.GroupID) uint64 { return checker.layouts[group] }

// Leased notes that an instance has a living lease under a layout of a group while the store holds a newer one.
func (checker *Checker) Leased(group lagoonlanding.GroupID, instance lagoonlanding.InstanceID, version uint64) {
	if newest := checker.layouts[group]; version+1 < newest {
		checker.Break(RuleLayout, "%s has a lease of %s under layout %d while layout %d is written", instance, group, version, newest)
	}
}
