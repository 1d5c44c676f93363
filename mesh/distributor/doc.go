// Package distributor exchanges the reports about credits of workspaces between daemons, reporters of zones and the arbiter.
//
// One goroutine owns the state of the zone and of the arbiter; reports of other daemons are passed to it, and its own reports are sent by
// goroutines that pass back the answers. It makes no decisions about shares: these are those of apportioner and throttler.
package distributor
