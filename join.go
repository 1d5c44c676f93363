package lagoonlanding

// JoinRequest asks a coordinator to add an instance to a group or to remove it.
type JoinRequest struct {
	group    GroupID
	instance Instance
	leaving  bool
}

// NewJoinRequest returns a request to add the instance to the group, or to remove it if leaving is true.
func NewJoinRequest(group GroupID, instance Instance, leaving bool) JoinRequest {
	return JoinRequest{group: group, instance: instance, leaving: leaving}
}

// Group returns the group.
func (joinrequest JoinRequest) Group() GroupID { return joinrequest.group }

// Instance returns the instance that joins or leaves.
func (joinrequest JoinRequest) Instance() Instance { return joinrequest.instance }

// IsLeaving reports whether the instance asks to hand over its shards and leave.
func (joinrequest JoinRequest) IsLeaving() bool { return joinrequest.leaving }

// JoinReply is a coordinator's reply to a JoinRequest.
type JoinReply struct {
	accepted bool
}

// NewJoinReply returns a reply that reports whether the coordinator has accepted the change.
func NewJoinReply(accepted bool) JoinReply { return JoinReply{accepted: accepted} }

// IsNoted reports whether the coordinator has accepted the change, so that a later layout will include it.
func (joinreply JoinReply) IsNoted() bool { return joinreply.accepted }
