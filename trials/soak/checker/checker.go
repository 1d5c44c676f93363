package checker

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Rule is a guarantee that must always hold.
type Rule string

// The rules.
const (
	// RuleOneOwner means that at most one instance may serve a shard at any time.
	RuleOneOwner Rule = "one-owner"
	// RuleToken means that the fencing tokens of a shard never decrease and that no two owners share one.
	RuleToken Rule = "token-grows"
	// RuleOnce means that a non-idempotent request runs at most once.
	RuleOnce Rule = "at-most-once"
	// RuleNotRun means that a request that is refused as not run has not run and will not run.
	RuleNotRun Rule = "not-run-is-true"
	// RuleAnswer means that a caller receives the complete answer to its own request.
	RuleAnswer Rule = "own-answer"
	// RuleRegion means that a request is forwarded and served only within its home regions.
	RuleRegion Rule = "home-region"
	// RuleSet means that an instance never goes back to an older published set.
	RuleSet Rule = "set-never-reverts"
	// RuleLayout means that each layout names its direct predecessor, and that at most two layouts have valid leases.
	RuleLayout Rule = "layouts-follow"
	// RuleServed means that all shards are served within a bounded time once all faults are over.
	RuleServed Rule = "served-again"
	// RuleInvariant means that no assertion within the program fails.
	RuleInvariant Rule = "assertion"
	// RuleDrain means that a planned shutdown interrupts no request.
	RuleDrain Rule = "planned-stop"
)

// Violation is one broken guarantee.
type Violation struct {
	at     time.Duration
	rule   Rule
	detail string
}

// Rule returns the guarantee that was broken.
func (violation Violation) Rule() Rule { return violation.rule }

// String returns the violation in one line.
func (violation Violation) String() string {
	return fmt.Sprintf("%v %s: %s", violation.at, violation.rule, violation.detail)
}

// maxViolations bounds the violations that are recorded in one run.
const maxViolations = 20

// Config holds the dependencies of a Checker.
type Config struct {
	// Now returns the simulated time since the start, independent of the clocks of the instances.
	Now func() time.Duration
}

// Checker observes a fleet from outside and reports violations of its guarantees.
type Checker struct {
	config     Config
	violations []Violation
	tokens     map[lagoonlanding.ShardID]tokenUse
	running    map[lagoonlanding.ShardID][]*Execution
	// effects holds the ID of the attempt that took effect, by idempotency key.
	effects map[string]string
	// started and refused hold the IDs of the attempts that a backend server began to run or that were refused as not run.
	started map[string]bool
	refused map[string]bool
	// sets and layouts hold the last recorded version of each instance's set and of each group's layout.
	sets    map[lagoonlanding.InstanceID]uint64
	layouts map[lagoonlanding.GroupID]uint64
}

// tokenUse is the highest fencing token that was used for a shard, with its owner.
type tokenUse struct {
	token uint64
	owner lagoonlanding.InstanceID
}

// New returns a checker without observations.
func New(config Config) *Checker {
	return &Checker{
		config: config, tokens: make(map[lagoonlanding.ShardID]tokenUse),
		running: make(map[lagoonlanding.ShardID][]*Execution), effects: make(map[string]string),
		started: make(map[string]bool), refused: make(map[string]bool),
		sets: make(map[lagoonlanding.InstanceID]uint64), layouts: make(map[lagoonlanding.GroupID]uint64),
	}
}

// Violations returns the broken guarantees in the order in which they were found.
func (checker *Checker) Violations() []Violation { return checker.violations }

// ReportViolation records a broken guarantee.
func (checker *Checker) ReportViolation(rule Rule, format string, arguments ...any) {
	if len(checker.violations) < maxViolations {
		violation := Violation{at: checker.config.Now(), rule: rule, detail: fmt.Sprintf(format, arguments...)}
		checker.violations = append(checker.violations, violation)
	}
}

// ShardLease is an instance's lease on a shard that is valid now by its own clock and snapshot.
type ShardLease struct {
	shard lagoonlanding.ShardID
	owner lagoonlanding.InstanceID
	token uint64
}

// NewShardLease returns the lease of an instance on the shard with the fencing token.
func NewShardLease(shard lagoonlanding.ShardID, owner lagoonlanding.InstanceID, token uint64) ShardLease {
	return ShardLease{shard: shard, owner: owner, token: token}
}

// CheckLeases checks that no shard has two of the given leases, which are all valid at the same moment.
func (checker *Checker) CheckLeases(leases []ShardLease) {
	owners := make(map[lagoonlanding.ShardID]ShardLease, len(leases))
	for _, shardlease := range leases {
		if other, ok := owners[shardlease.shard]; ok {
			checker.ReportViolation(RuleOneOwner, "%s may be served by %s under %d and by %s under %d",
				shardlease.shard, other.owner, other.token, shardlease.owner, shardlease.token)
		}
		owners[shardlease.shard] = shardlease
	}
}

// RecordDispatch records that an owner sends a request to its backend server with a fencing token.
//
// The leases are those of all other instances on the shard.
func (checker *Checker) RecordDispatch(fence lagoonlanding.Fence, owner lagoonlanding.InstanceID, otherLeases []ShardLease) {
	shard := lagoonlanding.NewShardID(fence.Group(), fence.Shard())
	for _, other := range otherLeases {
		checker.ReportViolation(RuleOneOwner, "%s is served by %s under %d while %s may serve it under %d",
			shard, owner, fence.Token(), other.owner, other.token)
	}
	last := checker.tokens[shard]
	if fence.Token() < last.token || fence.Token() == last.token && owner != last.owner {
		checker.ReportViolation(RuleToken, "%s is served by %s under %d after %s under %d", shard, owner, fence.Token(), last.owner, last.token)
	}
	if fence.Token() >= last.token {
		checker.tokens[shard] = tokenUse{token: fence.Token(), owner: owner}
	}
}

// RecordSet records which published set an instance applies.
func (checker *Checker) RecordSet(instance lagoonlanding.InstanceID, version uint64) {
	if version < checker.sets[instance] {
		checker.ReportViolation(RuleSet, "%s applies set %d after %d", instance, version, checker.sets[instance])
	}
	checker.sets[instance] = version
}

// RecordLayout records a group's record that the store has accepted.
func (checker *Checker) RecordLayout(record lagoonlanding.Record) {
	last := checker.layouts[record.Group()]
	if record.Version() != last+1 || record.Prior().Version() != last {
		checker.ReportViolation(RuleLayout, "%s has layout %d with prior %d after %d",
			record.Group(), record.Version(), record.Prior().Version(), last)
	}
	checker.layouts[record.Group()] = record.Version()
}

// NewestLayout returns the version of the group's newest layout in the store.
func (checker *Checker) NewestLayout(id lagoonlanding.GroupID) uint64 { return checker.layouts[id] }

// RecordLease records that an instance has a valid lease under a layout of a group.
//
// The layout may be one version behind the newest one in the store, no more.
func (checker *Checker) RecordLease(group lagoonlanding.GroupID, instance lagoonlanding.InstanceID, version uint64) {
	if newest := checker.layouts[group]; version+1 < newest {
		checker.ReportViolation(RuleLayout, "%s has a lease of %s under layout %d while the store holds layout %d", instance, group, version, newest)
	}
}
