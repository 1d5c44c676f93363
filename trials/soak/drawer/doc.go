// Package drawer draws the events of a randomised run from a seed.
package drawer
