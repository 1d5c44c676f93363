// Package drainer decides which requests a daemon still accepts while it shuts down, and when it may exit.
package drainer
