// Package grouper decides how a group's layout changes: which layout the coordinator proposes next, and when the current one is settled.
package grouper
