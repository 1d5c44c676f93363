package lagoonlanding

import "io"

// ReceivedBody is the body of an answer that is received ahead of its reader.
type ReceivedBody interface {
	io.ReadCloser
	// OnReceived calls the function once the body has been received to its end or given up, at once if it has been.
	OnReceived(call func())
}
