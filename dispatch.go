package lagoonlanding

import "context"

// RequestHandler takes a routed request to its owner and returns what became of it.
type RequestHandler interface {
	// Dispatch returns the reply; ctx ends at the request's deadline or when its caller goes away.
	Dispatch(ctx context.Context, request Request) Reply
}
