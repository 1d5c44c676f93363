package lagoonlanding

import (
	"crypto/sha256"
	"math"
	"slices"
)

// KeyDigest is the SHA-256 digest of an API key; the zero value means that a request has no key.
type KeyDigest [sha256.Size]byte

// NewKeyDigest returns the digest of an API key, the zero value for an empty key.
func NewKeyDigest(key string) KeyDigest {
	if key == "" {
		return KeyDigest{}
	}
	return sha256.Sum256([]byte(key))
}

// WorkspaceConfig holds the fields of a Workspace.
type WorkspaceConfig struct {
	// Name is the name of the workspace.
	Name string
	// Keys are the digests of its API keys.
	Keys []KeyDigest
	// Priority replaces the priority of a route; the lowest value goes first.
	Priority int
	// Rate is the quota in requests per second, zero for no limit, and Burst the number of requests that it may send at once on top of it.
	Rate, Burst float64
	// Regions restricts the regions in which its requests may be served; empty means all regions.
	Regions []string
}

// Workspace is a customer to whom API keys belong.
type Workspace struct {
	config WorkspaceConfig
}

// NewWorkspace returns a workspace with the given configuration.
func NewWorkspace(config WorkspaceConfig) Workspace { return Workspace{config: config} }

// Name returns the name of the workspace, empty if there is none.
func (workspace Workspace) Name() string { return workspace.config.Name }

// IsZero reports whether there is no workspace.
func (workspace Workspace) IsZero() bool { return workspace.config.Name == "" }

// Priority returns the priority that replaces that of a route.
func (workspace Workspace) Priority() int { return workspace.config.Priority }

// Rate returns the quota in requests per second, zero for no limit.
func (workspace Workspace) Rate() float64 { return workspace.config.Rate }

// Burst returns the number of requests that may be sent at once on top of the rate.
func (workspace Workspace) Burst() float64 { return workspace.config.Burst }

// IsLimited reports whether the workspace has a quota.
func (workspace Workspace) IsLimited() bool { return workspace.config.Rate > 0 }

// Allows reports whether a request of the workspace may be served in the region.
func (workspace Workspace) Allows(region string) bool {
	return len(workspace.config.Regions) == 0 || slices.Contains(workspace.config.Regions, region)
}

// QuotaRulesConfig holds the fields of QuotaRules.
type QuotaRulesConfig struct {
	// WindowSeconds is the length of the window in which a quota is measured.
	WindowSeconds float64
	// Overage is the fraction by which a quota may be exceeded in a window, and Slack the number of requests that are permitted on top.
	Overage, Slack float64
}

// QuotaRules state how many requests of a workspace are permitted in a window.
type QuotaRules struct {
	config QuotaRulesConfig
}

// NewQuotaRules returns rules with the given configuration.
func NewQuotaRules(config QuotaRulesConfig) QuotaRules { return QuotaRules{config: config} }

// WindowSeconds returns the length of the window in seconds.
func (quotarules QuotaRules) WindowSeconds() float64 { return quotarules.config.WindowSeconds }

// Limit returns the greatest number of requests of the workspace that may be sent in one window.
func (quotarules QuotaRules) Limit(workspace Workspace) float64 {
	return (workspace.Rate()*quotarules.config.WindowSeconds+workspace.Burst())*(1+quotarules.config.Overage) + quotarules.config.Slack
}

const (
	// equalShare is the fraction of what a window permits that is divided equally among the daemons, for use without a lease; the rest is leased by
	// demand. The usual demand of a workspace is well below what a window permits, so that most requests need no lease, and a fleet whose arbiter is
	// lost still serves most of them.
	equalShare = 0.3
	// maxEqualShare is that fraction for a workspace of which each daemon gets a single request in a window. Smaller ones have no reserve: with less than
	// the rest, demand that moves to another zone could not be leased.
	maxEqualShare = 0.5
	// overageShare is the fraction of the permitted overage that is used at all; the rest covers requests that take longer than usual to arrive.
	overageShare = 0.95
)

// Reserve returns how many requests of the workspace each of the daemons may send in one window without a lease.
func (quotarules QuotaRules) Reserve(workspace Workspace, daemons int) int {
	if daemons <= 0 {
		return 0
	}
	usable := quotarules.usable(workspace)
	if reserve := int(equalShare * usable / float64(daemons)); reserve > 0 {
		return reserve
	}
	if float64(daemons) <= maxEqualShare*usable {
		return 1
	}
	return 0
}

// LeasedRate returns how many credits a second of the workspace are created for leases: the part of its rate that the reserves of all daemons leave.
func (quotarules QuotaRules) LeasedRate(workspace Workspace, daemons int) float64 {
	return workspace.Rate() * quotarules.leasedShare(workspace, daemons)
}

// Capacity returns how many credits of the workspace may exist at the same time in a fleet of the given size: with those that the leased rate adds in
// a window, and with the reserves of all daemons, they do not exceed the limit.
func (quotarules QuotaRules) Capacity(workspace Workspace, daemons int) int {
	permitted := quotarules.usable(workspace) - workspace.Rate()*quotarules.config.WindowSeconds
	// A window may begin with up to one credit that has been earned but not created.
	return max(int(math.Floor(permitted*quotarules.leasedShare(workspace, daemons)))-1, 0)
}

// leasedShare returns the fraction of what a window permits that the reserves of all daemons leave.
func (quotarules QuotaRules) leasedShare(workspace Workspace, daemons int) float64 {
	return max(1-float64(quotarules.Reserve(workspace, daemons)*daemons)/quotarules.usable(workspace), 0)
}

// usable returns how many requests of the workspace the fleet sends in a window at most.
func (quotarules QuotaRules) usable(workspace Workspace) float64 {
	return workspace.Rate()*quotarules.config.WindowSeconds + workspace.Burst() + overageShare*quotarules.overage(workspace)
}

// overage returns the number of requests that a window may contain beyond the quota.
func (quotarules QuotaRules) overage(workspace Workspace) float64 {
	return quotarules.config.Overage*(workspace.Rate()*quotarules.config.WindowSeconds+workspace.Burst()) + quotarules.config.Slack
}
