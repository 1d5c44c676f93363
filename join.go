package lagoonlanding

// JoinRequest asks a coordinator to add an instance to a group, or to let it leave.
type JoinRequest struct {
	group    GroupID
	instance Instance
	leaving  bool
}

// NewJoinRequest returns the request of an instance that joins, or leaves, the group.
func NewJoinRequest(group GroupID, instance Instance, leaving bool) JoinRequest {
	return JoinRequest{group: group, instance: instance, leaving: leaving}
}

// Group returns the group.
func (joinrequest JoinRequest) Group() GroupID { return joinrequest.group }

// Instance returns the instance that joins or leaves.
func (joinrequest JoinRequest) Instance() Instance { return joinrequest.instance }

// IsLeaving reports whether the instance asks to hand over its shards.
func (joinrequest JoinRequest) IsLeaving() bool { return joinrequest.leaving }

// JoinReply says whether the coordinator has noted the request.
type JoinReply struct {
	noted bool
}

// NewJoinReply returns the answer to a JoinRequest.
func NewJoinReply(noted bool) JoinReply { return JoinReply{noted: noted} }

// IsNoted reports whether the request will be part of a coming layout.
func (joinreply JoinReply) IsNoted() bool { return joinreply.noted }
