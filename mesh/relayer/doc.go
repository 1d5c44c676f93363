// Package relayer passes on to other daemons what this one hears from the store, so that few daemons need to watch it.
package relayer
