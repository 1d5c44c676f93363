package lagoonlanding

// Source gives traffic the newest immutable value that the control thread has published.
type Source[T any] interface {
	// Current returns the newest value.
	Current() T
	// Changed returns a channel that is closed when a newer value than the current one is published.
	Changed() <-chan struct{}
}
