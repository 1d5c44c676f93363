package lagoonlanding

import "time"

// The bounds that every instance of a fleet shares.
const (
	// PromiseTerm is how long a witness keeps a promise to a member.
	PromiseTerm = 900 * time.Millisecond
	// RenewInterval is the time between two renewals of a lease.
	RenewInterval = 300 * time.Millisecond
	// DrainTerm is how long a member may finish work on shards that a newer layout takes from it.
	DrainTerm = time.Second
	// DriftPermille bounds how far two monotonic clocks drift apart, in thousandths of the elapsed time.
	DriftPermille = 10
)

// HolderDeadline returns until when a holder may count on a promise that it asked for at the given time.
func HolderDeadline(asked time.Time) time.Time {
	return asked.Add(PromiseTerm - PromiseTerm*DriftPermille/1000)
}

// WitnessDeadline returns until when a witness must keep a promise that it gave at the given time.
func WitnessDeadline(given time.Time) time.Time { return given.Add(PromiseTerm) }

// RenewStatus is a witness's answer to a renewal.
type RenewStatus uint8

// The answers to a renewal.
const (
	// RenewGranted says that the witness keeps the member's lease for the promise term.
	RenewGranted RenewStatus = iota + 1
	// RenewStale says that the member must release what the newer layout takes from it.
	RenewStale
	// RenewRemoved says that the newer layout does not hold the member.
	RenewRemoved
	// RenewBehind says that the witness does not know the member's layout yet.
	RenewBehind
	// RenewNotWitness says that the instance is no witness of the group.
	RenewNotWitness
	// RenewOutdated says that a member whose promise has lapsed must first apply the witness's published set.
	RenewOutdated
	// RenewLater says that the witness must first learn what the store wrote before the layout.
	RenewLater
)

// RenewRequest asks a witness to keep a member's lease.
type RenewRequest struct {
	group    GroupID
	witness  InstanceID
	member   InstanceID
	adopted  uint64
	released uint64
	set      uint64
	loads    []ShardLoad
}

// RenewRequestConfig holds the parts of a RenewRequest.
type RenewRequestConfig struct {
	// Group is the group of the lease.
	Group GroupID
	// Witness is the instance that is asked; another run at its address must not answer for it.
	Witness InstanceID
	// Member is the instance that holds the lease.
	Member InstanceID
	// Adopted is the newest layout version that the member knows.
	Adopted uint64
	// Released is the newest layout version at which the member has let go of all shards that it lost.
	Released uint64
	// Set is the version of the published set that the member applies.
	Set uint64
	// Loads are the member's busiest shards.
	Loads []ShardLoad
}

// NewRenewRequest returns the request that the configuration describes.
func NewRenewRequest(config RenewRequestConfig) RenewRequest {
	return RenewRequest{
		group: config.Group, witness: config.Witness, member: config.Member, adopted: config.Adopted,
		released: config.Released, set: config.Set, loads: config.Loads,
	}
}

// Group returns the group of the lease.
func (renewrequest RenewRequest) Group() GroupID { return renewrequest.group }

// Witness returns the instance that is asked.
func (renewrequest RenewRequest) Witness() InstanceID { return renewrequest.witness }

// To returns the same renewal for another witness.
func (renewrequest RenewRequest) To(witness InstanceID) RenewRequest {
	renewrequest.witness = witness
	return renewrequest
}

// Member returns the instance that holds the lease.
func (renewrequest RenewRequest) Member() InstanceID { return renewrequest.member }

// Adopted returns the newest layout version that the member knows.
func (renewrequest RenewRequest) Adopted() uint64 { return renewrequest.adopted }

// Released returns the newest layout version at which the member has let go of all shards that it lost.
func (renewrequest RenewRequest) Released() uint64 { return renewrequest.released }

// Set returns the version of the published set that the member applies.
func (renewrequest RenewRequest) Set() uint64 { return renewrequest.set }

// Loads returns the member's busiest shards.
func (renewrequest RenewRequest) Loads() []ShardLoad { return renewrequest.loads }

// ShardLoad is the rate of requests to one shard.
type ShardLoad struct {
	shard     int
	perSecond float64
}

// NewShardLoad returns the load of a shard.
func NewShardLoad(shard int, perSecond float64) ShardLoad {
	return ShardLoad{shard: shard, perSecond: perSecond}
}

// Shard returns the number of the shard.
func (shardload ShardLoad) Shard() int { return shardload.shard }

// PerSecond returns the requests a second.
func (shardload ShardLoad) PerSecond() float64 { return shardload.perSecond }

// RenewReply is a witness's answer to a RenewRequest.
type RenewReply struct {
	status    RenewStatus
	version   uint64
	directory uint64
	lost      []InstanceID
}

// NewRenewReply returns the answer with the layout version and the directory revision that the witness knows.
func NewRenewReply(status RenewStatus, version, directory uint64) RenewReply {
	return RenewReply{status: status, version: version, directory: directory}
}

// Status returns the decision of the witness.
func (renewreply RenewReply) Status() RenewStatus { return renewreply.status }

// Version returns the newest layout version that the witness knows.
func (renewreply RenewReply) Version() uint64 { return renewreply.version }

// Directory returns the store revision up to which the witness knows the directory.
func (renewreply RenewReply) Directory() uint64 { return renewreply.directory }

// WithLost returns the answer with the members whose promises by the witness have lapsed, for a fellow witness.
func (renewreply RenewReply) WithLost(lost []InstanceID) RenewReply {
	renewreply.lost = lost
	return renewreply
}

// Lost returns the members whose promises by the witness have lapsed.
func (renewreply RenewReply) Lost() []InstanceID { return renewreply.lost }
