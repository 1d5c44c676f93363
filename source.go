package lagoonlanding

// Source provides traffic threads with the newest immutable snapshot published by the control thread.
type Source[T any] interface {
	// Current returns the newest snapshot.
	Current() T
	// Changed returns a channel that is closed when a newer snapshot is published.
	Changed() <-chan struct{}
}
