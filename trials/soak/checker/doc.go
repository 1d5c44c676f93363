// Package checker knows what really happened in a fleet and finds each promise to its users that was broken.
package checker
