// Package grouper holds the rules by which a group's layout changes: which change is proposed, and when the one before it is settled.
package grouper
