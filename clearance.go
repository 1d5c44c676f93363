package lagoonlanding

import "time"

// ClearanceRequest asks a witness of the layout before the given version which of its members can no longer serve under that layout.
type ClearanceRequest struct {
	group   GroupID
	version uint64
	witness InstanceID
}

// NewClearanceRequest returns the question to a witness about the change to the given layout version.
func NewClearanceRequest(group GroupID, version uint64, witness InstanceID) ClearanceRequest {
	return ClearanceRequest{group: group, version: version, witness: witness}
}

// Group returns the group of the layout.
func (clearancerequest ClearanceRequest) Group() GroupID { return clearancerequest.group }

// Version returns the layout version that the members must have reached.
func (clearancerequest ClearanceRequest) Version() uint64 { return clearancerequest.version }

// Witness returns the instance that is asked; another run of the same daemon answers for it once its promises have lapsed.
func (clearancerequest ClearanceRequest) Witness() InstanceID { return clearancerequest.witness }

// ClearanceStatus is a witness's answer to a ClearanceRequest.
type ClearanceStatus uint8

// The answers to a clearance request.
const (
	// ClearanceGiven lists the members that the witness will never again promise an older layout.
	ClearanceGiven ClearanceStatus = iota + 1
	// ClearanceBehind says that the witness does not know the layout yet.
	ClearanceBehind
	// ClearanceGone says that the asked run has ended and that all its promises have lapsed.
	ClearanceGone
	// ClearanceWait says that the asked run has ended but that its promises may still hold.
	ClearanceWait
)

// ClearanceReply is a witness's answer to a ClearanceRequest.
type ClearanceReply struct {
	status  ClearanceStatus
	version uint64
	cleared []InstanceID
}

// NewClearanceReply returns the answer with the witness's layout version and the cleared members.
func NewClearanceReply(status ClearanceStatus, version uint64, cleared []InstanceID) ClearanceReply {
	return ClearanceReply{status: status, version: version, cleared: cleared}
}

// Status returns the kind of the answer.
func (clearancereply ClearanceReply) Status() ClearanceStatus { return clearancereply.status }

// Version returns the newest layout version that the witness knows.
func (clearancereply ClearanceReply) Version() uint64 { return clearancereply.version }

// Cleared returns the members that can no longer serve under an older layout.
func (clearancereply ClearanceReply) Cleared() []InstanceID { return clearancereply.cleared }

// GoneAfter returns when a restarted witness may say that the promises of the run before it have lapsed.
func GoneAfter(started time.Time) time.Time {
	return started.Add(PromiseTerm + PromiseTerm*DriftPermille/1000)
}
