package generator

import (
	"fmt"
	"time"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	// KindRequest sends a new request to a daemon.
	KindRequest Kind = "request"
	// KindResend sends an earlier request again, with its idempotency key and ticket.
	KindResend Kind = "resend"
	// KindKill terminates a daemon.
	KindKill Kind = "kill"
	// KindFreeze suspends a daemon for a while; it resumes with its state unchanged.
	KindFreeze Kind = "freeze"
	// KindRestart starts a terminated daemon as a new incarnation without state.
	KindRestart Kind = "restart"
	// KindReplace terminates a daemon and immediately starts a new incarnation.
	KindReplace Kind = "replace"
	// KindLeave asks a daemon to hand over its shards and shut down.
	KindLeave Kind = "leave"
	// KindCutDaemons partitions two daemons from each other for a while.
	KindCutDaemons Kind = "cut-daemons"
	// KindCutZone partitions an availability zone from the others for a while.
	KindCutZone Kind = "cut-zone"
	// KindCutRegions partitions two regions from each other for a while.
	KindCutRegions Kind = "cut-regions"
	// KindCutOneWay drops messages in one direction between two availability zones for a while.
	KindCutOneWay Kind = "cut-one-way"
	// KindCutStore partitions a daemon from the store for a while.
	KindCutStore Kind = "cut-store"
	// KindStoreDown makes the store refuse all calls for a while.
	KindStoreDown Kind = "store-down"
	// KindStoreSlow delays the responses of the store for a while.
	KindStoreSlow Kind = "store-slow"
	// KindStoreLoss drops the responses to the next writes to the store; the writes take effect.
	KindStoreLoss Kind = "store-answer-lost"
	// KindMessageLoss drops a share of all messages for a while.
	KindMessageLoss Kind = "message-loss"
	// KindMessageDelay delays, reorders and duplicates messages for a while.
	KindMessageDelay Kind = "message-delay"
	// KindZoneOut publishes a set with one availability zone out of service.
	KindZoneOut Kind = "zone-out"
	// KindZoneReturn publishes a set with all availability zones in service.
	KindZoneReturn Kind = "zone-return"
	// KindOperatorsRace makes two operators publish concurrently.
	KindOperatorsRace Kind = "operators-race"
	// KindDrift changes the drift of a daemon's clock.
	KindDrift Kind = "drift"
	// KindDeposeOwner isolates the owner of a shard while a layout without it is written.
	KindDeposeOwner Kind = "depose-owner"
	// KindMoveShard performs a planned move of a shard while long requests run at its owner.
	KindMoveShard Kind = "move-shard"
	// KindSucceedWitness replaces a witness by a new incarnation at its address while a member receives updates late.
	KindSucceedWitness Kind = "succeed-witness"
	// KindTrapLoser isolates the next member that loses a shard to a new layout until about the expiry of a promise.
	KindTrapLoser Kind = "trap-loser"
	// KindPause lets time pass.
	KindPause Kind = "pause"
)

// EventConfig holds the fields of an Event.
type EventConfig struct {
	// Kind is the kind of event.
	Kind Kind
	// Delay is the time since the previous event.
	Delay time.Duration
	// Subject selects the target of the event.
	Subject int
	// Object selects the second party, if the event has one.
	Object int
	// Duration is how long the effect of the event lasts.
	Duration time.Duration
	// Parameter selects a variant or a magnitude, depending on the kind.
	Parameter int
}

// Event is a request, a fault or another change in a fleet; selectors are taken modulo the number of candidates.
type Event struct{ config EventConfig }

// NewEvent returns an event with the given configuration.
func NewEvent(config EventConfig) Event { return Event{config: config} }

// Kind returns the kind of event.
func (event Event) Kind() Kind { return event.config.Kind }

// Delay returns the time since the previous event.
func (event Event) Delay() time.Duration { return event.config.Delay }

// Subject returns the selector of the target.
func (event Event) Subject() int { return event.config.Subject }

// Object returns the selector of the second party.
func (event Event) Object() int { return event.config.Object }

// Duration returns how long the effect of the event lasts.
func (event Event) Duration() time.Duration { return event.config.Duration }

// Parameter returns the selector of a variant or a magnitude.
func (event Event) Parameter() int { return event.config.Parameter }

// String returns the event in one line.
func (event Event) String() string {
	return fmt.Sprintf("+%v %s %d %d %v %d", event.Delay(), event.Kind(), event.Subject(), event.Object(), event.Duration(), event.Parameter())
}

// DelayedBy returns the event with its delay extended.
func (event Event) DelayedBy(duration time.Duration) Event {
	event.config.Delay += duration
	return event
}
