// Package chooser picks the backend server from which an answer is expected first, for what its distance costs.
package chooser
