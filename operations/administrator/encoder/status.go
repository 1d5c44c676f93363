package encoder

// Status is the status of an instance and of the groups that it knows.
type Status struct {
	Instance       string `json:"instance"`
	Zone           string `json:"availability-zone"`
	Region         string `json:"region"`
	Set            uint64 `json:"set"`
	Revision       uint64 `json:"revision"`
	StoreReachable bool   `json:"store-reachable"`
	Leaving        bool   `json:"leaving"`
	// Limits describe what currently cannot be done, and why.
	Limits []string `json:"limits,omitempty"`
	Groups []Group  `json:"groups"`
}

// Group is the status of a group.
type Group struct {
	Group       string   `json:"group"`
	Layout      uint64   `json:"layout"`
	Shards      int      `json:"shards"`
	Coordinator string   `json:"coordinator,omitempty"`
	Settled     bool     `json:"settled"`
	Witnesses   []string `json:"witnesses,omitempty"`
	Members     []Member `json:"members,omitempty"`
}

// Member is the status of a member of a group.
type Member struct {
	Instance string `json:"instance"`
	Zone     string `json:"availability-zone"`
	State    string `json:"state"`
	Shards   int    `json:"shards"`
	Set      uint64 `json:"set"`
	// Lease is the remaining time of the longest promise of a witness, negative after its expiry, empty if none is known.
	Lease string `json:"lease,omitempty"`
}

// Explanation explains which instance owns a key, and why.
type Explanation struct {
	Service   string `json:"service"`
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Owner     string `json:"owner,omitempty"`
	Steps     []Step `json:"steps"`
}

// Step is one step of the routing from a key to its owner.
type Step struct {
	What  string `json:"what"`
	Value string `json:"value"`
	Why   string `json:"why"`
}
