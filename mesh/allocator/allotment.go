package allocator

import (
	"slices"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// Keys is the number of shard keys of a sharded service.
	Keys = 65536
	// MinStripes is the number of stripes of a new allotment.
	MinStripes = 256
	// MaxStripes bounds the number of stripes, so that the allotment of a large fleet stays some kilobytes long.
	MaxStripes = 4096
	// maxRanges bounds the ranges with handovers that are assigned to one backend server, so that they fit into a message of 4 KiB; beyond
	// it adjacent ranges are merged.
	maxRanges = 90
	// maxMergedRanges bounds the ranges without handovers for the same reason; keys of further ranges are not served.
	maxMergedRanges = 160
)

// StripeConfig holds the fields of a Stripe.
type StripeConfig struct {
	// Owner is the process that owns the keys, or will once Prior has released them; zero for none.
	Owner lagoonlanding.BackendID
	// Prior is the previous owner while it may still own the keys; zero for none.
	Prior lagoonlanding.BackendID
	// Token is the fencing token of the owner.
	Token uint64
	// Handover proves that the previous owner has released the keys; empty for none.
	Handover string
}

// Stripe is a contiguous range of shard keys that move together.
type Stripe struct {
	config StripeConfig
}

// NewStripe returns a stripe with the given configuration.
func NewStripe(config StripeConfig) Stripe { return Stripe{config: config} }

// Owner returns the process that owns the keys, or will once the previous owner has released them.
func (stripe Stripe) Owner() lagoonlanding.BackendID { return stripe.config.Owner }

// Prior returns the previous owner while it may still own the keys, zero for none.
func (stripe Stripe) Prior() lagoonlanding.BackendID { return stripe.config.Prior }

// Token returns the fencing token of the owner.
func (stripe Stripe) Token() uint64 { return stripe.config.Token }

// Handover returns the proof that the previous owner has released the keys, empty for none.
func (stripe Stripe) Handover() string { return stripe.config.Handover }

// IsAssignable reports whether the keys may be assigned to the owner: there is one, and it waits for no previous owner.
func (stripe Stripe) IsAssignable() bool {
	return !stripe.config.Owner.IsZero() && stripe.config.Prior.IsZero()
}

// moveTo moves the stripe to another owner, which waits for the current one unless that has certainly released the keys.
func (stripe *Stripe) moveTo(owner lagoonlanding.BackendID, token uint64, isExpired func(lagoonlanding.BackendID) bool) {
	prior := stripe.config.Prior
	if prior.IsZero() {
		prior = stripe.config.Owner
	}
	if prior == owner || isExpired(prior) {
		prior = lagoonlanding.BackendID{}
	}
	handover := ""
	if stripe.config.Owner.IsZero() && stripe.config.Prior.IsZero() {
		handover = stripe.config.Handover
	}
	stripe.config = StripeConfig{Owner: owner, Prior: prior, Token: token, Handover: handover}
}

// AllotmentConfig holds the fields of an Allotment.
type AllotmentConfig struct {
	// Service is the name of the sharded service.
	Service string
	// Version counts the writes of the allotment; it is also the greatest fencing token assigned so far.
	Version uint64
	// Stripes are all stripes in key order, a power of two of them; none for an allotment in which no key has an owner.
	Stripes []Stripe
	// Weights are the shares of the stripes that backend servers should have, relative to the average, by daemon; those without an entry
	// should have the average.
	Weights map[string]float64
	// Base is the version of an earlier era of the store on which the allotment is based, zero for none.
	Base uint64
	// Settled is the newest era of the store in which the longest assignment of earlier eras was waited out, zero for none.
	Settled uint64
}

// Allotment maps the keys of a sharded service to their owners; it is immutable, and methods that change it return a new one.
//
// A key has at most one owner at a time: a new owner waits until the previous one has released the key, and every move takes a greater
// fencing token.
type Allotment struct {
	config AllotmentConfig
}

// NewAllotment returns an allotment with the given configuration.
func NewAllotment(config AllotmentConfig) *Allotment {
	if !isStripeCount(len(config.Stripes)) {
		config.Stripes = make([]Stripe, MinStripes)
	}
	return &Allotment{config: config}
}

// isStripeCount reports whether the keys can be divided into this number of stripes of equal length.
func isStripeCount(count int) bool {
	return count >= MinStripes && count <= MaxStripes && count&(count-1) == 0
}

// Service returns the name of the sharded service.
func (allotment *Allotment) Service() string { return allotment.config.Service }

// Version returns the number of writes, which is also the greatest fencing token assigned so far.
func (allotment *Allotment) Version() uint64 { return allotment.config.Version }

// Stripes returns all stripes in key order; callers must not change them.
func (allotment *Allotment) Stripes() []Stripe { return allotment.config.Stripes }

// StripeOf returns the stripe of a key.
func (allotment *Allotment) StripeOf(key int) Stripe {
	return allotment.config.Stripes[min(max(key, 0), Keys-1)/allotment.stripeKeys()]
}

// stripeKeys returns the number of keys in a stripe.
func (allotment *Allotment) stripeKeys() int { return Keys / len(allotment.config.Stripes) }

// bounds returns the first and the last key of a stripe.
func (allotment *Allotment) bounds(number int) (first, last int) {
	length := allotment.stripeKeys()
	return number * length, (number+1)*length - 1
}

// RangesOf returns the ranges that may be assigned to a process; adjacent stripes are merged into one range.
//
// All take the version as their token: it is greater than any token under which an earlier owner had the keys, and it never falls, which
// a backend server requires also of ranges that are divided in another way than before.
// A range contains the handover only until the backend server reports that it owns the keys.
func (allotment *Allotment) RangesOf(id lagoonlanding.BackendID, owns func(first, last int) bool) []lagoonlanding.HeldRange {
	var ranges []lagoonlanding.HeldRange
	for number, stripe := range allotment.config.Stripes {
		if !stripe.IsAssignable() || stripe.Owner() != id {
			continue
		}
		first, last := allotment.bounds(number)
		handover := stripe.Handover()
		if handover != "" && owns(first, last) {
			handover = ""
		}
		if count := len(ranges); count > 0 {
			previous := ranges[count-1]
			if previous.Last()+1 == first && previous.Handover() == handover {
				ranges[count-1] = lagoonlanding.NewHeldRange(previous.First(), last, previous.Token(), handover)
				continue
			}
		}
		ranges = append(ranges, lagoonlanding.NewHeldRange(first, last, allotment.Version(), handover))
	}
	if len(ranges) > maxRanges {
		return mergeAdjacent(ranges)
	}
	return ranges
}

// mergeAdjacent merges adjacent ranges without their handovers.
func mergeAdjacent(ranges []lagoonlanding.HeldRange) []lagoonlanding.HeldRange {
	merged := ranges[:1:1]
	for _, heldrange := range ranges[1:] {
		last := merged[len(merged)-1]
		if last.Last()+1 != heldrange.First() {
			merged = append(merged, heldrange)
			continue
		}
		merged[len(merged)-1] = lagoonlanding.NewHeldRange(last.First(), heldrange.Last(), last.Token(), "")
	}
	return merged[:min(len(merged), maxMergedRanges)]
}

// next returns a mutable copy with the next version, which moves within it take as their token.
func (allotment *Allotment) next() *Allotment {
	config := allotment.config
	config.Version++
	config.Stripes = append([]Stripe(nil), config.Stripes...)
	return &Allotment{config: config}
}

// Inherit returns the allotment in which a new process of a backend server owns the keys of earlier processes on the same daemon, which
// ended before it started; it returns false if those have no keys.
//
// Keys of a later process are left alone: the successor may be known from a delayed announcement only.
//
// Other registered new processes inherit theirs by the same write, so that a restarting fleet doesn't need one write per backend server.
func (allotment *Allotment) Inherit(successor lagoonlanding.BackendID, others ...lagoonlanding.BackendID) (*Allotment, bool) {
	isEarlier := func(id lagoonlanding.BackendID) bool {
		return id.Daemon() == successor.Daemon() && id.StartedMilli() < successor.StartedMilli()
	}
	if !slices.ContainsFunc(allotment.config.Stripes, func(stripe Stripe) bool { return isEarlier(stripe.Owner()) || isEarlier(stripe.Prior()) }) {
		return nil, false
	}
	successors := map[string]lagoonlanding.BackendID{}
	for _, other := range others {
		successors[other.Daemon()] = other
	}
	successors[successor.Daemon()] = successor
	next := allotment.next()
	for number := range next.config.Stripes {
		next.inherit(&next.config.Stripes[number].config, successors)
	}
	return next, true
}

// inherit moves one stripe to the successor of its owner, if there is one.
//
// The registrations of other daemons may be older than the allotment, so their keys move only to a process that started later.
func (allotment *Allotment) inherit(stripe *StripeConfig, successors map[string]lagoonlanding.BackendID) {
	successorOf := func(id lagoonlanding.BackendID) (lagoonlanding.BackendID, bool) {
		successor, ok := successors[id.Daemon()]
		return successor, ok && successor.StartedMilli() > id.StartedMilli()
	}
	if _, ok := successorOf(stripe.Prior); ok {
		stripe.Prior = lagoonlanding.BackendID{}
	}
	if successor, ok := successorOf(stripe.Owner); ok {
		stripe.Owner, stripe.Token, stripe.Handover = successor, allotment.config.Version, ""
	}
}

// AwaitsRelease reports whether a new owner waits for the prior one to release keys.
func (allotment *Allotment) AwaitsRelease(prior lagoonlanding.BackendID) bool {
	return slices.ContainsFunc(allotment.config.Stripes, func(stripe Stripe) bool { return stripe.Prior() == prior })
}

// AwaitedOwners returns the number of prior owners that new owners wait for.
func (allotment *Allotment) AwaitedOwners() int {
	owners := map[lagoonlanding.BackendID]bool{}
	for _, stripe := range allotment.config.Stripes {
		if !stripe.Prior().IsZero() {
			owners[stripe.Prior()] = true
		}
	}
	return len(owners)
}

// Release returns the allotment after the prior owner has released stripes, as hasReleased reports; it returns false if there are none.
func (allotment *Allotment) Release(prior lagoonlanding.BackendID, hasReleased func(first, last int) (handover string, ok bool)) (*Allotment, bool) {
	next, changed := allotment.next(), false
	for number := range next.config.Stripes {
		stripe := &next.config.Stripes[number]
		if stripe.Prior() != prior {
			continue
		}
		handover, ok := hasReleased(next.bounds(number))
		if !ok {
			continue
		}
		stripe.config.Prior, stripe.config.Handover = lagoonlanding.BackendID{}, handover
		changed = true
	}
	return next, changed
}
