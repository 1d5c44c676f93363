package drawer

import (
	"fmt"
	"time"
)

// Kind names what happens to a fleet.
type Kind string

// The kinds of events.
const (
	// KindRequest sends a new request to a daemon.
	KindRequest Kind = "request"
	// KindResend sends an earlier request again, with its idempotency key and ticket.
	KindResend Kind = "resend"
	// KindKill ends a daemon.
	KindKill Kind = "kill"
	// KindFreeze stops a daemon for a term, after which it goes on with what it knew.
	KindFreeze Kind = "freeze"
	// KindRestart starts a daemon that has ended, as another incarnation that knows nothing.
	KindRestart Kind = "restart"
	// KindReplace ends a daemon and starts it anew at once.
	KindReplace Kind = "replace"
	// KindLeave asks a daemon to hand over and to end.
	KindLeave Kind = "leave"
	// KindCutDaemons cuts two daemons from each other for a term.
	KindCutDaemons Kind = "cut-daemons"
	// KindCutZone cuts an availability zone from the others for a term.
	KindCutZone Kind = "cut-zone"
	// KindCutRegions cuts two regions from each other for a term.
	KindCutRegions Kind = "cut-regions"
	// KindCutOneWay cuts one direction between two availability zones for a term.
	KindCutOneWay Kind = "cut-one-way"
	// KindCutStore cuts a daemon from the store for a term.
	KindCutStore Kind = "cut-store"
	// KindStoreDown makes the store refuse all calls for a term.
	KindStoreDown Kind = "store-down"
	// KindStoreSlow makes the store answer late for a term.
	KindStoreSlow Kind = "store-slow"
	// KindStoreLoss loses the answers of the store's next writes, which take effect.
	KindStoreLoss Kind = "store-answer-lost"
	// KindMessageLoss loses a share of all messages for a term.
	KindMessageLoss Kind = "message-loss"
	// KindMessageDelay delays, reorders and duplicates messages for a term.
	KindMessageDelay Kind = "message-delay"
	// KindZoneOut publishes a set without an availability zone.
	KindZoneOut Kind = "zone-out"
	// KindZoneReturn publishes a set with all availability zones.
	KindZoneReturn Kind = "zone-return"
	// KindRace lets two operators publish at once.
	KindRace Kind = "operators-race"
	// KindDrift changes how fast a daemon's clock runs.
	KindDrift Kind = "drift"
	// KindDepose isolates the owner of a shard while a layout without it is written.
	KindDepose Kind = "depose-owner"
	// KindMove moves a shard as planned while long requests run at its owner.
	KindMove Kind = "move-shard"
	// KindSucceed replaces a witness by another run at its address while a member learns late.
	KindSucceed Kind = "succeed-witness"
	// KindTrap isolates the next member that a layout takes a shard from, until about the end of a promise.
	KindTrap Kind = "trap-loser"
	// KindPause lets time pass.
	KindPause Kind = "pause"
)

// EventConfig holds the parts of an Event.
type EventConfig struct {
	// Kind is what happens.
	Kind Kind
	// After is the time since the event before.
	After time.Duration
	// Subject chooses whom it happens to.
	Subject int
	// Object chooses the other party.
	Object int
	// Term is how long it lasts.
	Term time.Duration
	// Number is a further choice.
	Number int
}

// Event is one thing that happens to a fleet; choices are taken modulo what there is to choose from.
type Event struct{ config EventConfig }

// NewEvent returns the event that the configuration describes.
func NewEvent(config EventConfig) Event { return Event{config: config} }

// Kind returns what happens.
func (event Event) Kind() Kind { return event.config.Kind }

// After returns the time since the event before.
func (event Event) After() time.Duration { return event.config.After }

// Subject returns the choice of whom it happens to.
func (event Event) Subject() int { return event.config.Subject }

// Object returns the choice of the other party.
func (event Event) Object() int { return event.config.Object }

// Term returns how long it lasts.
func (event Event) Term() time.Duration { return event.config.Term }

// Number returns a further choice.
func (event Event) Number() int { return event.config.Number }

// String returns the event in one line.
func (event Event) String() string {
	return fmt.Sprintf("+%v %s %d %d %v %d", event.After(), event.Kind(), event.Subject(), event.Object(), event.Term(), event.Number())
}

// Later returns the event with additional time before it.
func (event Event) Later(term time.Duration) Event {
	event.config.After += term
	return event
}
