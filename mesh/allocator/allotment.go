package allocator

import (
	"slices"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// Keys is the number of shard keys of a divided service.
	Keys = 65536
	// LeastStripes is the number of parts that the keys of a new allotment move in.
	LeastStripes = 256
	// MostStripes bounds the parts: the allotment of a large fleet stays some kilobytes long.
	MostStripes = 4096
	// maxRanges bounds the ranges with handovers that one backend server is told, so that they fit into a message of 4 KiB; beyond it
	// neighbours are joined.
	maxRanges = 90
	// maxJoined bounds the ranges without handovers for the same reason; keys of further ones are not served.
	maxJoined = 160
)

// StripeConfig holds the parts of a Stripe.
type StripeConfig struct {
	// Owner is the life of the backend server that holds the keys, or will once Prior has let go; zero for nobody.
	Owner lagoonlanding.BackendID
	// Prior is the life that may still hold the keys; zero for nobody.
	Prior lagoonlanding.BackendID
	// Token is the fencing token of the owner.
	Token uint64
	// Handover proves that the last holder has let go; empty for none.
	Handover string
}

// Stripe is a run of neighbouring shard keys that move together.
type Stripe struct {
	config StripeConfig
}

// NewStripe returns the stripe that the configuration describes.
func NewStripe(config StripeConfig) Stripe { return Stripe{config: config} }

// Owner returns the life that holds the keys, or will once the prior one has let go.
func (stripe Stripe) Owner() lagoonlanding.BackendID { return stripe.config.Owner }

// Prior returns the life that may still hold the keys, zero for nobody.
func (stripe Stripe) Prior() lagoonlanding.BackendID { return stripe.config.Prior }

// Token returns the fencing token of the owner.
func (stripe Stripe) Token() uint64 { return stripe.config.Token }

// Handover returns the proof that the last holder has let go, empty for none.
func (stripe Stripe) Handover() string { return stripe.config.Handover }

// IsSettled reports whether the owner may be told to hold the keys.
func (stripe Stripe) IsSettled() bool {
	return !stripe.config.Owner.IsZero() && stripe.config.Prior.IsZero()
}

// moveTo gives the stripe to another owner, who waits for the present one unless that is known to have let go.
func (stripe *Stripe) moveTo(owner lagoonlanding.BackendID, token uint64, isGone func(lagoonlanding.BackendID) bool) {
	holder := stripe.config.Prior
	if holder.IsZero() {
		holder = stripe.config.Owner
	}
	if holder == owner || isGone(holder) {
		holder = lagoonlanding.BackendID{}
	}
	handover := ""
	if stripe.config.Owner.IsZero() && stripe.config.Prior.IsZero() {
		handover = stripe.config.Handover
	}
	stripe.config = StripeConfig{Owner: owner, Prior: holder, Token: token, Handover: handover}
}

// AllotmentConfig holds the parts of an Allotment.
type AllotmentConfig struct {
	// Service is the divided service.
	Service string
	// Version counts the writes of the allotment and is the greatest fencing token that was given out.
	Version uint64
	// Stripes are all stripes in the order of their keys, a power of two of them; none for an allotment in which nobody holds a key.
	Stripes []Stripe
}

// Allotment says who holds the keys of a divided service; it does not change, its methods return the next one.
//
// A key has at most one holder: an owner waits until the prior holder has let go, and every move takes a higher token.
type Allotment struct {
	config AllotmentConfig
}

// NewAllotment returns the allotment that the configuration describes.
func NewAllotment(config AllotmentConfig) *Allotment {
	if !isStripeCount(len(config.Stripes)) {
		config.Stripes = make([]Stripe, LeastStripes)
	}
	return &Allotment{config: config}
}

// isStripeCount reports whether the keys may be cut into so many stripes of equal length.
func isStripeCount(count int) bool {
	return count >= LeastStripes && count <= MostStripes && count&(count-1) == 0
}

// Service returns the name of the divided service.
func (allotment *Allotment) Service() string { return allotment.config.Service }

// Version returns the count of writes, the greatest fencing token that was given out.
func (allotment *Allotment) Version() uint64 { return allotment.config.Version }

// Stripes returns all stripes in the order of their keys; callers do not change them.
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

// Held returns the ranges that the backend server may be told to hold; neighbours under one token are one range.
//
// A range tells the handover only until the backend server says that it holds its keys.
func (allotment *Allotment) Held(id lagoonlanding.BackendID, holds func(first, last int) bool) []lagoonlanding.HeldRange {
	var ranges []lagoonlanding.HeldRange
	for number, stripe := range allotment.config.Stripes {
		if !stripe.IsSettled() || stripe.Owner() != id {
			continue
		}
		first, last := allotment.bounds(number)
		handover := stripe.Handover()
		if handover != "" && holds(first, last) {
			handover = ""
		}
		if count := len(ranges); count > 0 {
			prior := ranges[count-1]
			if prior.Last()+1 == first && prior.Token() == stripe.Token() && prior.Handover() == handover {
				ranges[count-1] = lagoonlanding.NewHeldRange(prior.First(), last, prior.Token(), handover)
				continue
			}
		}
		ranges = append(ranges, lagoonlanding.NewHeldRange(first, last, stripe.Token(), handover))
	}
	if len(ranges) > maxRanges {
		return join(ranges)
	}
	return ranges
}

// join makes neighbouring ranges one under the greatest of their tokens; every later move takes a greater one still.
func join(ranges []lagoonlanding.HeldRange) []lagoonlanding.HeldRange {
	joined := ranges[:1:1]
	for _, held := range ranges[1:] {
		last := joined[len(joined)-1]
		if last.Last()+1 != held.First() {
			joined = append(joined, held)
			continue
		}
		joined[len(joined)-1] = lagoonlanding.NewHeldRange(last.First(), held.Last(), max(last.Token(), held.Token()), "")
	}
	return joined[:min(len(joined), maxJoined)]
}

// next returns a copy that may be changed, with the version that its moves take as their token.
func (allotment *Allotment) next() *Allotment {
	config := allotment.config
	config.Version++
	config.Stripes = append([]Stripe(nil), config.Stripes...)
	return &Allotment{config: config}
}

// Inherit returns the allotment in which a new life of a backend server has the keys of earlier lives beside the same daemon, which
// ended before it began; it is false if they have none.
//
// Other new lives that are known to be registered get theirs by the same write, so that a fleet that starts again does not write one by one.
func (allotment *Allotment) Inherit(heir lagoonlanding.BackendID, others ...lagoonlanding.BackendID) (*Allotment, bool) {
	isLate := func(id lagoonlanding.BackendID) bool { return id.Daemon() == heir.Daemon() && id != heir }
	if !slices.ContainsFunc(allotment.config.Stripes, func(stripe Stripe) bool { return isLate(stripe.Owner()) || isLate(stripe.Prior()) }) {
		return nil, false
	}
	heirs := map[string]lagoonlanding.BackendID{}
	for _, other := range others {
		heirs[other.Daemon()] = other
	}
	heirs[heir.Daemon()] = heir
	next := allotment.next()
	for number := range next.config.Stripes {
		next.inherit(&next.config.Stripes[number].config, heir, heirs)
	}
	return next, true
}

// inherit hands one stripe on. The view of others may be older than the allotment, so theirs goes only to a life that was born later.
func (allotment *Allotment) inherit(stripe *StripeConfig, self lagoonlanding.BackendID, heirs map[string]lagoonlanding.BackendID) {
	heirOf := func(id lagoonlanding.BackendID) (lagoonlanding.BackendID, bool) {
		heir, ok := heirs[id.Daemon()]
		return heir, ok && heir != id && (heir == self || heir.StartedMilli() > id.StartedMilli())
	}
	if _, ok := heirOf(stripe.Prior); ok {
		stripe.Prior = lagoonlanding.BackendID{}
	}
	if heir, ok := heirOf(stripe.Owner); ok {
		stripe.Owner, stripe.Token, stripe.Handover = heir, allotment.config.Version, ""
	}
}

// AwaitsRelease reports whether an owner waits for the holder to let go.
func (allotment *Allotment) AwaitsRelease(holder lagoonlanding.BackendID) bool {
	return slices.ContainsFunc(allotment.config.Stripes, func(stripe Stripe) bool { return stripe.Prior() == holder })
}

// Release returns the allotment after the holder has let go of every stripe for which it has; it is false if there is none.
func (allotment *Allotment) Release(holder lagoonlanding.BackendID, hasLetGo func(first, last int) (handover string, ok bool)) (*Allotment, bool) {
	next, changed := allotment.next(), false
	for number := range next.config.Stripes {
		stripe := &next.config.Stripes[number]
		if stripe.Prior() != holder {
			continue
		}
		handover, ok := hasLetGo(next.bounds(number))
		if !ok {
			continue
		}
		stripe.config.Prior, stripe.config.Handover = lagoonlanding.BackendID{}, handover
		changed = true
	}
	return next, changed
}
