package lagoonlanding

import "context"

// RequestHandler forwards a routed request to the owner of its shard and returns the reply.
type RequestHandler interface {
	// Dispatch returns the reply; ctx ends at the request's deadline or when the caller disconnects.
	Dispatch(ctx context.Context, request Request) Reply
}
