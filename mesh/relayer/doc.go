// Package relayer relays changes from the store to other daemons, so that few daemons need to watch it.
package relayer
