package lagoonlanding

import "time"

// Timing constants of the lease protocol, identical on every instance of a fleet.
const (
	// PromiseTerm is the duration of a witness's promise to a member.
	PromiseTerm = 900 * time.Millisecond
	// RenewInterval is the time between two renewals of a lease.
	RenewInterval = 300 * time.Millisecond
	// DrainTerm is the time a member has to finish requests to shards that a newer layout moves elsewhere.
	DrainTerm = time.Second
	// DriftPermille bounds the drift between two monotonic clocks, in thousandths of the elapsed time.
	DriftPermille = 10
)

// HolderDeadline returns until when a lease holder may rely on a promise that it requested at the given time.
func HolderDeadline(requestedAt time.Time) time.Time {
	return requestedAt.Add(PromiseTerm - PromiseTerm*DriftPermille/1000)
}

// WitnessDeadline returns until when a witness must honour a promise that it gave at the given time.
func WitnessDeadline(given time.Time) time.Time { return given.Add(PromiseTerm) }

// RenewStatus is the status of a RenewReply.
type RenewStatus uint8

// The statuses of a RenewReply.
const (
	// RenewGranted means that the witness extends the member's lease by PromiseTerm.
	RenewGranted RenewStatus = iota + 1
	// RenewNotReleased means that the member must first release the shards that a newer layout moves elsewhere.
	RenewNotReleased
	// RenewRemoved means that the newer layout no longer contains the member.
	RenewRemoved
	// RenewBehind means that the witness does not know the member's layout yet.
	RenewBehind
	// RenewNotWitness means that the instance is not a witness of the group.
	RenewNotWitness
	// RenewSetOutdated means that a member whose promise has expired must first apply the witness's published set.
	RenewSetOutdated
	// RenewDirectoryBehind means that the witness has not yet received the store changes that precede the layout.
	RenewDirectoryBehind
)

// RenewRequest asks a witness to renew a member's lease.
type RenewRequest struct {
	group    GroupID
	witness  InstanceID
	member   InstanceID
	adopted  uint64
	released uint64
	set      uint64
	loads    []ShardLoad
}

// RenewRequestConfig holds the fields of a RenewRequest.
type RenewRequestConfig struct {
	// Group is the group of the lease.
	Group GroupID
	// Witness is the instance that is asked; another incarnation at the same address must not answer for it.
	Witness InstanceID
	// Member is the instance that holds the lease.
	Member InstanceID
	// Adopted is the newest layout version that the member knows.
	Adopted uint64
	// Released is the newest layout version for which the member has released all shards that it lost.
	Released uint64
	// Set is the version of the published set that the member applies.
	Set uint64
	// Loads are the member's busiest shards.
	Loads []ShardLoad
}

// NewRenewRequest returns a request with the given configuration.
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

// WithWitness returns a copy of the request for another witness.
func (renewrequest RenewRequest) WithWitness(witness InstanceID) RenewRequest {
	renewrequest.witness = witness
	return renewrequest
}

// Member returns the instance that holds the lease.
func (renewrequest RenewRequest) Member() InstanceID { return renewrequest.member }

// Adopted returns the newest layout version that the member knows.
func (renewrequest RenewRequest) Adopted() uint64 { return renewrequest.adopted }

// Released returns the newest layout version for which the member has released all shards that it lost.
func (renewrequest RenewRequest) Released() uint64 { return renewrequest.released }

// Set returns the version of the published set that the member applies.
func (renewrequest RenewRequest) Set() uint64 { return renewrequest.set }

// Loads returns the member's busiest shards.
func (renewrequest RenewRequest) Loads() []ShardLoad { return renewrequest.loads }

// ShardLoad is the request rate of one shard.
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

// PerSecond returns the number of requests per second.
func (shardload ShardLoad) PerSecond() float64 { return shardload.perSecond }

// RenewReply is a witness's reply to a RenewRequest.
type RenewReply struct {
	status    RenewStatus
	version   uint64
	directory uint64
	expired   []InstanceID
}

// NewRenewReply returns a reply with the layout version and directory revision that the witness has reached.
func NewRenewReply(status RenewStatus, version, directory uint64) RenewReply {
	return RenewReply{status: status, version: version, directory: directory}
}

// Status returns the status of the reply.
func (renewreply RenewReply) Status() RenewStatus { return renewreply.status }

// Version returns the newest layout version that the witness knows.
func (renewreply RenewReply) Version() uint64 { return renewreply.version }

// Directory returns the store revision that the witness's directory has reached.
func (renewreply RenewReply) Directory() uint64 { return renewreply.directory }

// WithExpired returns a copy for another witness, with the members whose promises by this witness have expired.
func (renewreply RenewReply) WithExpired(expired []InstanceID) RenewReply {
	renewreply.expired = expired
	return renewreply
}

// Expired returns the members whose promises by the witness have expired.
func (renewreply RenewReply) Expired() []InstanceID { return renewreply.expired }
