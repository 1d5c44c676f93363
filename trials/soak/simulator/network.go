package simulator

import (
	"errors"
	"math/rand/v2"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

var (
	errTimeout = errors.New("request timed out")
	errRefused = errors.New("connection refused")
)

// The delays of messages, and the timeout of calls between daemons.
const (
	sameZoneDelay    = 200 * time.Microsecond
	crossZoneDelay   = 1500 * time.Microsecond
	crossRegionDelay = 8 * time.Millisecond
	maxExtraDelay    = 400 * time.Millisecond
	callTimeout      = 600 * time.Millisecond
)

// endpoint is an endpoint of the network: a daemon's slot or the store.
type endpoint struct {
	slot   int
	zone   string
	region string
}

// storeSlot is the slot number of the store's endpoint.
const storeSlot = -1

// link is a direction between two slots, zones or regions, by name.
type link struct{ from, to string }

// network delivers messages, with simulated delays, losses and partitions.
type network struct {
	fleet  *Fleet
	random *rand.Rand
	// cutCounts counts the active cuts of each link between names of slots, zones or regions.
	cutCounts map[link]int
	// lossPercent and delayPercent are the shares of messages that are lost or delayed.
	lossPercent    int
	delayPercent   int
	lostCount      int
	deliveredCount int
}

func newNetwork(fleet *Fleet, random *rand.Rand) *network {
	return &network{fleet: fleet, random: random, cutCounts: make(map[link]int)}
}

// cut drops all messages in one direction for the duration.
func (network *network) cut(from, to string, duration time.Duration) {
	link := link{from: from, to: to}
	network.cutCounts[link]++
	network.fleet.timer.AfterFunc(duration, func() { network.cutCounts[link]-- })
}

func (network *network) isCut(from, to endpoint) bool {
	for _, source := range from.names() {
		for _, target := range to.names() {
			if source != target && network.cutCounts[link{from: source, to: target}] > 0 {
				return true
			}
		}
	}
	return false
}

func (endpoint endpoint) names() [3]string {
	return [3]string{slotName(endpoint.slot), endpoint.zone, endpoint.region}
}

func slotName(slot int) string {
	if slot == storeSlot {
		return "store"
	}
	return "slot-" + string(rune('A'+slot))
}

// transmit delivers a message after a delay or drops it.
func (network *network) transmit(from, to endpoint, arrive func()) {
	delay := network.delay(from, to)
	if network.isCut(from, to) || network.random.IntN(100) < network.lossPercent {
		network.lostCount++
		return
	}
	network.fleet.timer.AfterFunc(delay, func() {
		if network.isCut(from, to) {
			network.lostCount++
			return
		}
		network.deliveredCount++
		arrive()
	})
}

func (network *network) delay(from, to endpoint) time.Duration {
	base := sameZoneDelay
	switch {
	case from.region != to.region:
		base = crossRegionDelay
	case from.zone != to.zone:
		base = crossZoneDelay
	}
	delay := base + time.Duration(network.random.Int64N(int64(base)))
	if network.random.IntN(100) < network.delayPercent {
		delay += time.Duration(network.random.Int64N(int64(maxExtraDelay)))
	}
	return delay
}

// peerCall is a request to another instance with its reply.
type peerCall[Reply any] struct {
	from   *Process
	to     lagoonlanding.Instance
	handle func(target *Process, now time.Time) Reply
	done   func(now time.Time, reply Reply, err error)
}

// start sends the request; done is called exactly once, with an error if no reply arrives in time.
func (peercall peerCall[Reply]) start() {
	var zero Reply
	fleet := peercall.from.fleet
	finished := false
	finish := func(reply Reply, err error) {
		peercall.from.runControl(func(now time.Time) {
			if !finished {
				finished = true
				peercall.done(now, reply, err)
			}
		})
	}
	fleet.timer.AfterFunc(callTimeout, func() { finish(zero, errTimeout) })
	from, to := peercall.from.endpoint(), fleet.endpointOf(peercall.to)
	arrive := func() {
		target := fleet.processAt(peercall.to)
		if target == nil {
			fleet.network.transmit(to, from, func() { finish(zero, errRefused) })
			return
		}
		target.runControl(func(now time.Time) {
			reply := peercall.handle(target, now)
			fleet.network.transmit(to, from, func() { finish(reply, nil) })
		})
	}
	fleet.network.transmit(from, to, arrive)
	// A network that delays messages also duplicates some requests.
	if fleet.network.random.IntN(400) < fleet.network.delayPercent {
		fleet.network.transmit(from, to, arrive)
	}
}
