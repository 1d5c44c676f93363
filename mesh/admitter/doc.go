// Package admitter decides which tasks are admitted under overload: the rank of a task, the level at a gate, and what an origin daemon concludes
// from the levels that other daemons return.
package admitter
