package lagoonlanding

import "time"

// ClearanceRequest asks a witness of the previous layout which members can no longer serve requests under that layout.
type ClearanceRequest struct {
	group   GroupID
	version uint64
	witness InstanceID
}

// NewClearanceRequest returns a request to a witness about the transition to the given layout version.
func NewClearanceRequest(group GroupID, version uint64, witness InstanceID) ClearanceRequest {
	return ClearanceRequest{group: group, version: version, witness: witness}
}

// Group returns the group of the layout.
func (clearancerequest ClearanceRequest) Group() GroupID { return clearancerequest.group }

// Version returns the layout version that the members must have adopted.
func (clearancerequest ClearanceRequest) Version() uint64 { return clearancerequest.version }

// Witness returns the instance that is asked; after a restart, the daemon's new instance answers for it once its promises have expired.
func (clearancerequest ClearanceRequest) Witness() InstanceID { return clearancerequest.witness }

// ClearanceStatus is the status of a ClearanceReply.
type ClearanceStatus uint8

// The statuses of a ClearanceReply.
const (
	// ClearanceGranted means that the reply lists the members to which the witness will never again grant a lease under an older layout.
	ClearanceGranted ClearanceStatus = iota + 1
	// ClearanceBehind means that the witness does not know the layout yet.
	ClearanceBehind
	// ClearanceExpired means that the witness has been restarted and that all promises of its earlier incarnation have expired.
	ClearanceExpired
	// ClearancePending means that the witness has been restarted but that promises of its earlier incarnation may still be valid.
	ClearancePending
)

// ClearanceReply is a witness's reply to a ClearanceRequest.
type ClearanceReply struct {
	status  ClearanceStatus
	version uint64
	cleared []InstanceID
}

// NewClearanceReply returns a reply with the witness's layout version and the cleared members.
func NewClearanceReply(status ClearanceStatus, version uint64, cleared []InstanceID) ClearanceReply {
	return ClearanceReply{status: status, version: version, cleared: cleared}
}

// Status returns the status of the reply.
func (clearancereply ClearanceReply) Status() ClearanceStatus { return clearancereply.status }

// Version returns the newest layout version that the witness knows.
func (clearancereply ClearanceReply) Version() uint64 { return clearancereply.version }

// Cleared returns the members that can no longer serve requests under an older layout.
func (clearancereply ClearanceReply) Cleared() []InstanceID { return clearancereply.cleared }

// PriorPromisesExpiry returns when all promises given before a restart at the given time have expired, with allowance for clock drift.
func PriorPromisesExpiry(started time.Time) time.Time {
	return started.Add(PromiseTerm + PromiseTerm*DriftPermille/1000)
}
