// Package granter holds the witness of a group: the promises that it gave to members, and what it may say about them.
package granter
