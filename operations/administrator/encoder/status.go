package encoder

// Status is what the asked instance knows of the fleet.
type Status struct {
	Instance  string `json:"instance"`
	Zone      string `json:"availability-zone"`
	Region    string `json:"region"`
	Set       uint64 `json:"set"`
	Revision  uint64 `json:"revision"`
	StoreSeen bool   `json:"store-reachable"`
	Leaving   bool   `json:"leaving"`
	// Limits say what cannot be done now, and why.
	Limits []string `json:"limits,omitempty"`
	Groups []Group  `json:"groups"`
}

// Group is what is known of a group.
type Group struct {
	Group       string   `json:"group"`
	Layout      uint64   `json:"layout"`
	Shards      int      `json:"shards"`
	Coordinator string   `json:"coordinator,omitempty"`
	Settled     bool     `json:"settled"`
	Witnesses   []string `json:"witnesses,omitempty"`
	Members     []Member `json:"members,omitempty"`
}

// Member is what is known of a member.
type Member struct {
	Instance string `json:"instance"`
	Zone     string `json:"availability-zone"`
	State    string `json:"state"`
	Shards   int    `json:"shards"`
	Set      uint64 `json:"set"`
	// Lease is the time that is left of the longest promise of a witness, negative since it lapsed, empty if none is known.
	Lease string `json:"lease,omitempty"`
}

// Explanation says why a key is where it is.
type Explanation struct {
	Service   string `json:"service"`
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Owner     string `json:"owner,omitempty"`
	Steps     []Step `json:"steps"`
}

// Step is one step from a key to its owner.
type Step struct {
	What  string `json:"what"`
	Value string `json:"value"`
	Why   string `json:"why"`
}
