package lagoonlanding

import "context"

// Peers sends messages to other daemons; an error means that the outcome is unknown, not that the message was not handled.
type Peers interface {
	// Renew asks a witness to renew a lease.
	Renew(ctx context.Context, to Instance, request RenewRequest) (RenewReply, error)
	// Clear asks a witness of the previous layout which members can no longer serve requests.
	Clear(ctx context.Context, to Instance, request ClearanceRequest) (ClearanceReply, error)
	// Join asks a coordinator to add or remove an instance.
	Join(ctx context.Context, to Instance, request JoinRequest) (JoinReply, error)
	// Directory asks for newer directory entries.
	Directory(ctx context.Context, to Instance, request DirectoryRequest) (DirectoryReply, error)
	// Notify sends a newer record.
	Notify(ctx context.Context, to Instance, notice RecordNotice) error
	// HandOver transfers a shard to its new owner.
	HandOver(ctx context.Context, to Instance, request HandoverRequest) (HandoverReply, error)
	// Status asks for the instance's status of a group.
	Status(ctx context.Context, to Instance, request StatusRequest) (GroupStatus, error)
	// Forward sends a caller's request; ErrNotSent means that no byte of it was sent.
	Forward(ctx context.Context, to Instance, request Request) (Reply, error)
}

// PeerHandler handles the messages of other daemons.
type PeerHandler interface {
	// OnRenew handles a member's lease renewal.
	OnRenew(request RenewRequest) RenewReply
	// OnClear handles a request about members of the previous layout.
	OnClear(request ClearanceRequest) ClearanceReply
	// OnJoin handles a request of an instance to join or leave.
	OnJoin(request JoinRequest) JoinReply
	// OnDirectory returns newer directory entries.
	OnDirectory(request DirectoryRequest) DirectoryReply
	// OnNotice handles a newer record.
	OnNotice(notice RecordNotice)
	// OnHandover takes over a shard.
	OnHandover(request HandoverRequest) HandoverReply
	// OnStatus returns the instance's status of a group.
	OnStatus(request StatusRequest) GroupStatus
	// OnForward handles a forwarded request.
	OnForward(ctx context.Context, request Request) Reply
}
