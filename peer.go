package lagoonlanding

import "context"

// Peers carries messages to the daemons of other instances; an error says that the answer is unknown, never that the message was not handled.
type Peers interface {
	// Renew asks a witness to keep a lease.
	Renew(ctx context.Context, to Instance, request RenewRequest) (RenewReply, error)
	// Clear asks a prior witness which members can no longer serve.
	Clear(ctx context.Context, to Instance, request ClearanceRequest) (ClearanceReply, error)
	// Join asks a coordinator to add an instance or to let it leave.
	Join(ctx context.Context, to Instance, request JoinRequest) (JoinReply, error)
	// Directory asks for newer entries of the store.
	Directory(ctx context.Context, to Instance, request DirectoryRequest) (DirectoryReply, error)
	// Notify tells of a newer record.
	Notify(ctx context.Context, to Instance, notice RecordNotice) error
	// HandOver gives a shard to its new owner.
	HandOver(ctx context.Context, to Instance, request HandoverRequest) (HandoverReply, error)
	// Status asks for what the instance knows of a group.
	Status(ctx context.Context, to Instance, request StatusRequest) (GroupStatus, error)
	// Forward passes a caller's request on; ErrNotSent says that no byte of it has left.
	Forward(ctx context.Context, to Instance, request Request) (Reply, error)
}

// PeerHandler answers the messages of other daemons.
type PeerHandler interface {
	// OnRenew answers a member's renewal.
	OnRenew(request RenewRequest) RenewReply
	// OnClear answers a question about the prior layout.
	OnClear(request ClearanceRequest) ClearanceReply
	// OnJoin notes an instance that joins or leaves.
	OnJoin(request JoinRequest) JoinReply
	// OnDirectory answers with newer entries of the store.
	OnDirectory(request DirectoryRequest) DirectoryReply
	// OnNotice takes a newer record.
	OnNotice(notice RecordNotice)
	// OnHandover takes over a shard.
	OnHandover(request HandoverRequest) HandoverReply
	// OnStatus answers with what the instance knows of a group.
	OnStatus(request StatusRequest) GroupStatus
	// OnForward serves a forwarded request.
	OnForward(ctx context.Context, request Request) Reply
}
