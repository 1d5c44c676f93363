// Package granter implements a witness of a group, which grants promises to members and clears members whose promises have expired.
package granter
