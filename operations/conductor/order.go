package conductor

import (
	"time"

	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// OrderConfig describes an Order.
type OrderConfig struct {
	// Set has no faults by itself.
	Set *publisher.Set
	// Base is the version that the order was made for, zero for none in force.
	Base uint64
	// Accepted names the dangers that the operator accepts.
	Accepted []string
	// Publication says who publishes and why.
	Publication publisher.Publication
	// WaitUntil is when to report without waiting further for the set to be in force everywhere.
	WaitUntil time.Time
}

// Order is a set to publish.
type Order struct{ config OrderConfig }

// NewOrder returns the order that the configuration describes.
func NewOrder(config OrderConfig) Order { return Order{config: config} }

// ZoneOrderConfig describes a ZoneOrder.
type ZoneOrderConfig struct {
	// Zone is the name of the zone.
	Zone string
	// Out says whether the zone goes out.
	Out bool
	// Accepted names the dangers that the operator accepts.
	Accepted []string
	// Publication says who orders and why.
	Publication publisher.Publication
	// WaitUntil is when to report without waiting further for the set to be in force everywhere.
	WaitUntil time.Time
}

// ZoneOrder takes a zone out or back.
type ZoneOrder struct{ config ZoneOrderConfig }

// NewZoneOrder returns the order that the configuration describes.
func NewZoneOrder(config ZoneOrderConfig) ZoneOrder { return ZoneOrder{config: config} }
