package player

import (
	"errors"
	"math/rand/v2"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

var (
	errTimeout = errors.New("no answer in time")
	errRefused = errors.New("connection refused")
)

// The network's usual delays.
const (
	delayNear    = 200 * time.Microsecond
	delayZone    = 1500 * time.Microsecond
	delayRegion  = 8 * time.Millisecond
	largestDelay = 400 * time.Millisecond
	callTimeout  = 600 * time.Millisecond
)

// place is an end of the network: a daemon's slot or the store.
type place struct {
	slot   int
	zone   string
	region string
}

const storeSlot = -1

type direction struct{ from, to string }

// network carries messages, unless they are cut off or lost.
type network struct {
	fleet  *Fleet
	random *rand.Rand
	// cuts counts the cuts of each direction between names of slots, zones or regions.
	cuts map[direction]int
	// lossPercent and delayPercent are the shares of messages that are lost or late.
	lossPercent  int
	delayPercent int
	lost         int
	delivered    int
}

func newNetwork(fleet *Fleet, random *rand.Rand) *network {
	return &network{fleet: fleet, random: random, cuts: make(map[direction]int)}
}

// cut cuts one direction for a term.
func (network *network) cut(from, to string, term time.Duration) {
	way := direction{from: from, to: to}
	network.cuts[way]++
	network.fleet.timer.AfterFunc(term, func() { network.cuts[way]-- })
}

func (network *network) isCut(from, to place) bool {
	for _, source := range from.names() {
		for _, target := range to.names() {
			if source != target && network.cuts[direction{from: source, to: target}] > 0 {
				return true
			}
		}
	}
	return false
}

func (place place) names() [3]string {
	return [3]string{slotName(place.slot), place.zone, place.region}
}

func slotName(slot int) string {
	if slot == storeSlot {
		return "store"
	}
	return "slot-" + string(rune('A'+slot))
}

// transmit delivers a message after a delay or loses it.
func (network *network) transmit(from, to place, arrive func()) {
	delay := network.delay(from, to)
	if network.isCut(from, to) || network.random.IntN(100) < network.lossPercent {
		network.lost++
		return
	}
	network.fleet.timer.AfterFunc(delay, func() {
		if network.isCut(from, to) {
			network.lost++
			return
		}
		network.delivered++
		arrive()
	})
}

func (network *network) delay(from, to place) time.Duration {
	base := delayNear
	switch {
	case from.region != to.region:
		base = delayRegion
	case from.zone != to.zone:
		base = delayZone
	}
	delay := base + time.Duration(network.random.Int64N(int64(base)))
	if network.random.IntN(100) < network.delayPercent {
		delay += time.Duration(network.random.Int64N(int64(largestDelay)))
	}
	return delay
}

// exchange is one message to another instance with its answer.
type exchange[Reply any] struct {
	from   *Process
	to     lagoonlanding.Instance
	handle func(target *Process, now time.Time) Reply
	done   func(now time.Time, reply Reply, err error)
}

// start sends the message; done is called once, also if no answer comes.
func (exchange exchange[Reply]) start() {
	var none Reply
	fleet := exchange.from.fleet
	finished := false
	finish := func(reply Reply, err error) {
		exchange.from.do(func(now time.Time) {
			if !finished {
				finished = true
				exchange.done(now, reply, err)
			}
		})
	}
	fleet.timer.AfterFunc(callTimeout, func() { finish(none, errTimeout) })
	from, to := exchange.from.place(), fleet.placeOf(exchange.to)
	arrive := func() {
		target := fleet.listening(exchange.to)
		if target == nil {
			fleet.network.transmit(to, from, func() { finish(none, errRefused) })
			return
		}
		target.do(func(now time.Time) {
			reply := exchange.handle(target, now)
			fleet.network.transmit(to, from, func() { finish(reply, nil) })
		})
	}
	fleet.network.transmit(from, to, arrive)
	if fleet.network.random.IntN(400) < fleet.network.delayPercent {
		fleet.network.transmit(from, to, arrive)
	}
}
