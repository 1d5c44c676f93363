package allocator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// minSpreadUtilization is the load per slot below which a backend server keeps its keys: above it tasks are refused or late.
	minSpreadUtilization = 0.9
	// minSpreadGap is by how much the donor must be more loaded than the average, so that keys don't move to and fro.
	minSpreadGap = 0.25
	// hotShare is the load per slot from which a stripe is judged by itself: less is too few tasks for an estimate.
	hotShare = 0.1
	// moveLoss is the service of a stripe that a move costs: about a second without any, and in one case of ten none of it handed over, which takes
	// some four seconds at a fifth of the speed.
	moveLoss = 1300 * time.Millisecond
	// payoffMargin is by how much the expected gain of a move must exceed its loss, as both are estimates.
	payoffMargin = 1.5
	// minLoadAge is the age from which a load that has risen is taken for its new level: from then on a move of all of it pays.
	minLoadAge = 2 * time.Second
	// reliefUtilization is the load per slot from which moved load counts as gained: above it tasks wait for a slot.
	reliefUtilization = 0.75
	// maxLoadAge bounds the time for which a load is expected to last.
	maxLoadAge = 20 * time.Second
	// minRecentShare is the part of its lasting load that a hot stripe must still have in the last second; otherwise its load is ending.
	minRecentShare = 0.5
)

// SpreadConfig holds the inputs of Spread.
type SpreadConfig struct {
	// Donor is the process whose daemon decides, and MeanRunTime the mean run time of its tasks.
	Donor       lagoonlanding.BackendID
	MeanRunTime time.Duration
	// LoadOf returns the load per slot of the donor that is due to the keys from first to last, with the tasks that it refused; RecentLoadOf returns
	// it over the last second or so. HalfLife is the age at which a task has half its weight in LoadOf.
	LoadOf, RecentLoadOf func(first, last int) float64
	HalfLife             time.Duration
	// Others are the other backend servers with recent reports.
	Others []ReceiverConfig
}

// Spreading says what a plan moves, and why.
type Spreading struct {
	utilization, average, load float64
	stripes, hotStripes        int
	receivers, donors          int
	gain, loss                 float64
}

// Utilization returns the donor's load per slot before the moves.
func (spreading Spreading) Utilization() float64 { return spreading.utilization }

// Average returns the average load per slot of all backend servers, weighted by speed.
func (spreading Spreading) Average() float64 { return spreading.average }

// Load returns the load per slot that moves.
func (spreading Spreading) Load() float64 { return spreading.load }

// Stripes returns the number of stripes that move, and HotStripes how many of them were judged by their own load.
func (spreading Spreading) Stripes() int { return spreading.stripes }

// HotStripes returns the number of moving stripes that were judged by their own load.
func (spreading Spreading) HotStripes() int { return spreading.hotStripes }

// Receivers returns the number of backend servers that take over stripes.
func (spreading Spreading) Receivers() int { return spreading.receivers }

// Donors returns the number of overloaded backend servers in the plan.
func (spreading Spreading) Donors() int { return spreading.donors }

// Gain returns the expected service gained, in seconds of the donor's slot per slot, and Loss what the moves cost of it.
func (spreading Spreading) Gain() float64 { return spreading.gain }

// Loss returns the service that the moves cost, in seconds of the donor's slot per slot.
func (spreading Spreading) Loss() float64 { return spreading.loss }

// spreadServer is a backend server in a plan; its speed is the number of tasks per second and slot.
type spreadServer struct {
	id                 lagoonlanding.BackendID
	utilization, speed float64
	// room is the number of tasks per second and slot that it can take over, or has to give away if it is negative.
	room   float64
	isUsed bool
}

// Spread returns the allotment in which an overloaded backend server has given stripes to less loaded ones; it returns false if no move would pay.
//
// Each donor computes the same plan for all donors and receivers from the reports that all of them see, and applies its own part: the more loaded
// donors come first, and what they need is not offered to the others. So several donors give keys away at the same time without filling the same
// receiver.
//
// Load: keys that are hot for some seconds, on backend servers of unlike speed. A move pays if the load is expected to last longer than the moved
// keys are without service; a load is expected to last as long again as it has lasted. A hot stripe that fits nowhere stays, and others move
// away from it.
func (allotment *Allotment) Spread(config SpreadConfig) (*Allotment, Spreading, bool) {
	if len(config.Others) == 0 || config.MeanRunTime <= 0 || allotment.AwaitsRelease(config.Donor) {
		return nil, Spreading{}, false
	}
	stripes, utilization := allotment.spreadStripes(config)
	if utilization < minSpreadUtilization {
		return nil, Spreading{}, false
	}
	donor, others, average := newSpreadServers(config, utilization)
	if utilization-average < minSpreadGap {
		return nil, Spreading{}, false
	}
	spreading := Spreading{utilization: utilization, average: average, donors: 1 + reserveForBusier(donor, others)}
	next := allotment.next()
	next.assignSpread(config, donor, others, stripes, &spreading)
	if spreading.stripes == 0 {
		return nil, Spreading{}, false
	}
	for _, other := range others {
		if other.isUsed {
			spreading.receivers++
		}
	}
	return next, spreading, true
}

// spreadStripe is a stripe of the donor that may move.
type spreadStripe struct {
	number int
	load   float64
	// lasts is how long the load is expected to last.
	lasts time.Duration
	isHot bool
}

// spreadStripes returns the donor's stripes, the busiest first, and their load.
func (allotment *Allotment) spreadStripes(config SpreadConfig) ([]spreadStripe, float64) {
	var stripes []spreadStripe
	lasting, recent := 0.0, 0.0
	for number, stripe := range allotment.config.Stripes {
		if stripe.Owner() != config.Donor || !stripe.Prior().IsZero() {
			continue
		}
		load, recentLoad := config.LoadOf(allotment.bounds(number)), config.RecentLoadOf(allotment.bounds(number))
		lasting, recent = lasting+load, recent+recentLoad
		stripes = append(stripes, spreadStripe{number: number, load: load, lasts: ageOf(load, recentLoad, config.HalfLife), isHot: max(load, recentLoad) >= hotShare})
		if last := &stripes[len(stripes)-1]; last.isHot && recentLoad > load {
			last.load = recentLoad
		} else if last.isHot && recentLoad < load*minRecentShare {
			last.lasts = 0
		}
	}
	age, scale := ageOf(lasting, recent, config.HalfLife), 1.0
	if recent > lasting && lasting > 0 && age >= minLoadAge {
		// The load has risen to what arrived in the last second, of which the lasting average shows only a part yet.
		scale = recent / lasting
	}
	for index := range stripes {
		if !stripes[index].isHot {
			stripes[index].lasts, stripes[index].load = age, stripes[index].load*scale
		}
	}
	slices.SortStableFunc(stripes, func(a, b spreadStripe) int { return cmp.Compare(b.load, a.load) })
	return stripes, lasting * scale
}

// ageOf estimates how long a load has lasted: a constant load reaches the part 1-2^(-age/half-life) of the lasting average.
func ageOf(lasting, recent float64, halfLife time.Duration) time.Duration {
	if recent <= lasting {
		return maxLoadAge
	}
	age := -math.Log2(1-lasting/recent) * halfLife.Seconds()
	return min(time.Duration(age*float64(time.Second)), maxLoadAge)
}

// newSpreadServers returns the donor, the others, and the average utilization, to which the receivers are filled.
func newSpreadServers(config SpreadConfig, utilization float64) (*spreadServer, []*spreadServer, float64) {
	donor := &spreadServer{id: config.Donor, utilization: utilization, speed: 1 / config.MeanRunTime.Seconds()}
	all := []*spreadServer{donor}
	for _, other := range config.Others {
		runTime := other.MeanRunTime
		if runTime <= 0 {
			runTime = config.MeanRunTime
		}
		all = append(all, &spreadServer{id: other.ID, utilization: other.Utilization, speed: 1 / runTime.Seconds()})
	}
	work, speed := 0.0, 0.0
	for _, server := range all {
		work, speed = work+server.utilization*server.speed, speed+server.speed
	}
	average := work / speed
	for _, server := range all {
		server.room = (average - server.utilization) * server.speed
	}
	return donor, all[1:], average
}

// reserveForBusier takes what the more loaded donors need off the room of the receivers, and returns the number of other donors.
func reserveForBusier(donor *spreadServer, others []*spreadServer) int {
	donors := 0
	for _, other := range others {
		if other.utilization < minSpreadUtilization || other.room >= 0 {
			continue
		}
		donors++
		isBusier := other.room < donor.room || other.room == donor.room && other.id.Daemon() < donor.id.Daemon()
		for excess := -other.room * shedDamping; isBusier && excess > 0; {
			receiver := mostRoom(others)
			if receiver.room <= 0 {
				break
			}
			taken := min(excess, receiver.room)
			receiver.room, excess = receiver.room-taken, excess-taken
		}
	}
	return donors
}

func mostRoom(servers []*spreadServer) *spreadServer {
	return slices.MaxFunc(servers, func(a, b *spreadServer) int { return cmp.Compare(a.room, b.room) })
}

// assignSpread moves stripes while the donor has too much and the moves pay, each to the receiver with most room.
func (allotment *Allotment) assignSpread(config SpreadConfig, donor *spreadServer, others []*spreadServer, stripes []spreadStripe, spreading *Spreading) {
	share := float64(len(allotment.config.Stripes)) / float64(len(others)+1)
	most := min(max(int(share*maxShedShare), 1), len(stripes)-max(int(math.Ceil(share*minWeight)), 1))
	excess := -donor.room / donor.speed * shedDamping
	for _, stripe := range stripes {
		if spreading.stripes >= most || stripe.load <= 0 {
			return
		}
		receiver := mostRoom(others)
		// What the donor could have run itself without delay is no gain.
		relief := min(stripe.load, max(spreading.utilization-spreading.load-reliefUtilization, 0))
		gain, loss := relief*stripe.lasts.Seconds(), stripe.load*moveLoss.Seconds()
		if !receiver.fits(stripe, donor, excess) || gain < loss*payoffMargin {
			continue
		}
		allotment.config.Stripes[stripe.number].moveTo(receiver.id, allotment.Version(), func(lagoonlanding.BackendID) bool { return false })
		allotment.shiftWeight(donor.id.Daemon(), receiver.id.Daemon(), 1, len(others)+1)
		receiver.room -= stripe.load * donor.speed
		receiver.utilization += stripe.load * donor.speed / receiver.speed
		receiver.isUsed = true
		excess -= stripe.load
		spreading.stripes, spreading.load = spreading.stripes+1, spreading.load+stripe.load
		spreading.gain, spreading.loss = spreading.gain+gain, spreading.loss+loss
		if stripe.isHot {
			spreading.hotStripes++
		}
	}
}

// fits reports whether a receiver can take over a stripe: within its room and the donor's excess, or, for a hot stripe, without being overloaded itself.
func (spreadserver *spreadServer) fits(stripe spreadStripe, donor *spreadServer, excess float64) bool {
	if spreadserver.room <= 0 {
		return false
	}
	if stripe.load <= excess && stripe.load*donor.speed <= spreadserver.room {
		return true
	}
	after := spreadserver.utilization + stripe.load*donor.speed/spreadserver.speed
	return stripe.isHot && after < minSpreadUtilization
}
