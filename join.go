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

// JoinReply reports whether the coordinator has recorded a JoinRequest.
type JoinReply struct {
	noted bool
}

// NewJoinReply returns a reply to a JoinRequest.
func NewJoinReply(noted bool) JoinReply { return JoinReply{noted: noted} }

// IsNoted reports whether a later layout will include the change.
func (joinreply JoinReply) IsNoted() bool { return joinreply.noted }
