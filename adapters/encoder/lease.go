package encoder

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// ShardLoad is the wire format of the load of a shard.
type ShardLoad struct {
	Shard     int
	PerSecond float64
}

// RenewRequest is the wire format of a lease renewal.
type RenewRequest struct {
	Group   GroupID
	Witness InstanceID
	Member  InstanceID
	// Adopted is the newest layout version that the member knows.
	Adopted uint64
	// Released is the newest layout version for which the member has released all shards that it lost.
	Released uint64
	// Set is the version of the published set that the member applies.
	Set   uint64
	Loads []ShardLoad
}

// FromRenewRequest encodes the request.
func FromRenewRequest(request lagoonlanding.RenewRequest) RenewRequest {
	message := RenewRequest{
		Group: FromGroupID(request.Group()), Witness: FromInstanceID(request.Witness()), Member: FromInstanceID(request.Member()),
		Adopted: request.Adopted(), Released: request.Released(), Set: request.Set(),
	}
	for _, load := range request.Loads() {
		message.Loads = append(message.Loads, ShardLoad{Shard: load.Shard(), PerSecond: load.PerSecond()})
	}
	return message
}

// Value decodes the request.
func (renewrequest RenewRequest) Value(time.Time) (lagoonlanding.RenewRequest, error) {
	group, err := renewrequest.Group.Value()
	if err != nil {
		return lagoonlanding.RenewRequest{}, err
	}
	config := lagoonlanding.RenewRequestConfig{
		Group: group, Witness: renewrequest.Witness.Value(), Member: renewrequest.Member.Value(),
		Adopted: renewrequest.Adopted, Released: renewrequest.Released, Set: renewrequest.Set,
	}
	for _, load := range renewrequest.Loads {
		config.Loads = append(config.Loads, lagoonlanding.NewShardLoad(load.Shard, load.PerSecond))
	}
	return lagoonlanding.NewRenewRequest(config), nil
}

// RenewReply is the wire format of the reply to a lease renewal.
type RenewReply struct {
	Status  uint8
	Version uint64
	// Directory is the store revision that the directory of the witness has reached.
	Directory uint64
	// Lost lists the members whose promises by the witness have expired.
	Lost []InstanceID
}

// FromRenewReply encodes the reply.
func FromRenewReply(reply lagoonlanding.RenewReply) RenewReply {
	message := RenewReply{Status: uint8(reply.Status()), Version: reply.Version(), Directory: reply.Directory()}
	for _, id := range reply.Expired() {
		message.Lost = append(message.Lost, FromInstanceID(id))
	}
	return message
}

// Value decodes the reply.
func (renewreply RenewReply) Value(time.Time) (lagoonlanding.RenewReply, error) {
	status, err := parseEnum(renewreply.Status, lagoonlanding.RenewGranted, lagoonlanding.RenewDirectoryBehind)
	if err != nil {
		return lagoonlanding.RenewReply{}, fmt.Errorf("reply to a renewal: %w", err)
	}
	var expired []lagoonlanding.InstanceID
	for _, id := range renewreply.Lost {
		expired = append(expired, id.Value())
	}
	return lagoonlanding.NewRenewReply(status, renewreply.Version, renewreply.Directory).WithExpired(expired), nil
}

// parseEnum converts a number to an enum value and rejects numbers outside first to last.
func parseEnum[E ~uint8](number uint8, first, last E) (E, error) {
	if E(number) < first || E(number) > last {
		return 0, fmt.Errorf("unknown value %d", number)
	}
	return E(number), nil
}

// ClearanceRequest is the wire format of a clearance request.
type ClearanceRequest struct {
	Group   GroupID
	Version uint64
	Witness InstanceID
}

// FromClearanceRequest encodes the request.
func FromClearanceRequest(request lagoonlanding.ClearanceRequest) ClearanceRequest {
	return ClearanceRequest{
		Group: FromGroupID(request.Group()), Version: request.Version(), Witness: FromInstanceID(request.Witness()),
	}
}

// Value decodes the request.
func (clearancerequest ClearanceRequest) Value(time.Time) (lagoonlanding.ClearanceRequest, error) {
	group, err := clearancerequest.Group.Value()
	if err != nil {
		return lagoonlanding.ClearanceRequest{}, err
	}
	return lagoonlanding.NewClearanceRequest(group, clearancerequest.Version, clearancerequest.Witness.Value()), nil
}

// ClearanceReply is the wire format of the reply to a clearance request.
type ClearanceReply struct {
	Status  uint8
	Version uint64
	Cleared []InstanceID
}

// FromClearanceReply encodes the reply.
func FromClearanceReply(reply lagoonlanding.ClearanceReply) ClearanceReply {
	message := ClearanceReply{Status: uint8(reply.Status()), Version: reply.Version()}
	for _, id := range reply.Cleared() {
		message.Cleared = append(message.Cleared, FromInstanceID(id))
	}
	return message
}

// Value decodes the reply.
func (clearancereply ClearanceReply) Value(time.Time) (lagoonlanding.ClearanceReply, error) {
	status, err := parseEnum(clearancereply.Status, lagoonlanding.ClearanceGranted, lagoonlanding.ClearancePending)
	if err != nil {
		return lagoonlanding.ClearanceReply{}, fmt.Errorf("reply to a clearance request: %w", err)
	}
	var cleared []lagoonlanding.InstanceID
	for _, id := range clearancereply.Cleared {
		cleared = append(cleared, id.Value())
	}
	return lagoonlanding.NewClearanceReply(status, clearancereply.Version, cleared), nil
}
