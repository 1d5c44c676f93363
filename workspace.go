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

// reserveShare is the fraction of the permitted overage that daemons may use without a share; the rest is leased by demand.
const reserveShare = 0.5

// overageShare is the fraction of the permitted overage that is used at all; the rest covers requests that take longer than usual to arrive.
const overageShare = 0.95

// Reserve returns how many requests of the workspace each of the daemons may send in one window without a share.
func (quotarules QuotaRules) Reserve(workspace Workspace, daemons int) int {
	if daemons <= 0 {
		return 0
	}
	return int(reserveShare * quotarules.overage(workspace) / float64(daemons))
}

// Capacity returns how many credits of the workspace may exist at the same time in a fleet of the given size: with those that its rate adds in
// a window, and with the reserves of all daemons, they do not exceed the limit.
func (quotarules QuotaRules) Capacity(workspace Workspace, daemons int) int {
	permitted := workspace.Burst() + overageShare*quotarules.overage(workspace)
	if quotarules.Reserve(workspace, max(daemons*9/10, 1)) > 0 {
		// Daemons that know a somewhat smaller fleet still use a reserve.
		permitted -= reserveShare * quotarules.overage(workspace)
	}
	// A window may begin with up to one credit that has been earned but not created.
	return max(int(math.Floor(permitted))-1, 1)
}

// overage returns the number of requests that a window may contain beyond the quota.
func (quotarules QuotaRules) overage(workspace Workspace) float64 {
	return quotarules.config.Overage*(workspace.Rate()*quotarules.config.WindowSeconds+workspace.Burst()) + quotarules.config.Slack
}
