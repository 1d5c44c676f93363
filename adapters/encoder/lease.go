package encoder

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// ShardLoad is the form of the load of a shard.
type ShardLoad struct {
	Shard     int
	PerSecond float64
}

// RenewRequest is the form of a renewal.
type RenewRequest struct {
	Group    GroupID
	Witness  InstanceID
	Member   InstanceID
	Adopted  uint64
	Released uint64
	Set      uint64
	Loads    []ShardLoad
}

// FromRenewRequest returns the form of the renewal.
func FromRenewRequest(request lagoonlanding.RenewRequest) RenewRequest {
	form := RenewRequest{
		Group: FromGroupID(request.Group()), Witness: FromInstanceID(request.Witness()), Member: FromInstanceID(request.Member()),
		Adopted: request.Adopted(), Released: request.Released(), Set: request.Set(),
	}
	for _, load := range request.Loads() {
		form.Loads = append(form.Loads, ShardLoad{Shard: load.Shard(), PerSecond: load.PerSecond()})
	}
	return form
}

// Value returns the renewal.
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

// RenewReply is the form of the answer to a renewal.
type RenewReply struct {
	Status    uint8
	Version   uint64
	Directory uint64
	Lost      []InstanceID
}

// FromRenewReply returns the form of the answer.
func FromRenewReply(reply lagoonlanding.RenewReply) RenewReply {
	form := RenewReply{Status: uint8(reply.Status()), Version: reply.Version(), Directory: reply.Directory()}
	for _, id := range reply.Expired() {
		form.Lost = append(form.Lost, FromInstanceID(id))
	}
	return form
}

// Value returns the answer.
func (renewreply RenewReply) Value(time.Time) (lagoonlanding.RenewReply, error) {
	status, err := statusOf(renewreply.Status, lagoonlanding.RenewGranted, lagoonlanding.RenewDirectoryBehind)
	if err != nil {
		return lagoonlanding.RenewReply{}, fmt.Errorf("answer to a renewal: %w", err)
	}
	var lost []lagoonlanding.InstanceID
	for _, id := range renewreply.Lost {
		lost = append(lost, id.Value())
	}
	return lagoonlanding.NewRenewReply(status, renewreply.Version, renewreply.Directory).WithExpired(lost), nil
}

// statusOf rejects the numbers that no status of the type has.
func statusOf[S ~uint8](number uint8, first, last S) (S, error) {
	if S(number) < first || S(number) > last {
		return 0, fmt.Errorf("status %d is unknown", number)
	}
	return S(number), nil
}

// ClearanceRequest is the form of a question for clearance.
type ClearanceRequest struct {
	Group   GroupID
	Version uint64
	Witness InstanceID
}

// FromClearanceRequest returns the form of the question.
func FromClearanceRequest(request lagoonlanding.ClearanceRequest) ClearanceRequest {
	return ClearanceRequest{
		Group: FromGroupID(request.Group()), Version: request.Version(), Witness: FromInstanceID(request.Witness()),
	}
}

// Value returns the question.
func (clearancerequest ClearanceRequest) Value(time.Time) (lagoonlanding.ClearanceRequest, error) {
	group, err := clearancerequest.Group.Value()
	if err != nil {
		return lagoonlanding.ClearanceRequest{}, err
	}
	return lagoonlanding.NewClearanceRequest(group, clearancerequest.Version, clearancerequest.Witness.Value()), nil
}

// ClearanceReply is the form of the answer to a question for clearance.
type ClearanceReply struct {
	Status  uint8
	Version uint64
	Cleared []InstanceID
}

// FromClearanceReply returns the form of the answer.
func FromClearanceReply(reply lagoonlanding.ClearanceReply) ClearanceReply {
	form := ClearanceReply{Status: uint8(reply.Status()), Version: reply.Version()}
	for _, id := range reply.Cleared() {
		form.Cleared = append(form.Cleared, FromInstanceID(id))
	}
	return form
}

// Value returns the answer.
func (clearancereply ClearanceReply) Value(time.Time) (lagoonlanding.ClearanceReply, error) {
	status, err := statusOf(clearancereply.Status, lagoonlanding.ClearanceGranted, lagoonlanding.ClearancePending)
	if err != nil {
		return lagoonlanding.ClearanceReply{}, fmt.Errorf("answer about clearance: %w", err)
	}
	var cleared []lagoonlanding.InstanceID
	for _, id := range clearancereply.Cleared {
		cleared = append(cleared, id.Value())
	}
	return lagoonlanding.NewClearanceReply(status, clearancereply.Version, cleared), nil
}
