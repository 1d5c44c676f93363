package conductor

import (
	"time"

	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// SetRequestConfig holds the fields of a SetRequest.
type SetRequestConfig struct {
	// Set is the set to publish; it must have passed publisher.Check.
	Set *publisher.Set
	// Base is the version in force that the request was made for, zero for none.
	Base uint64
	// Accepted names the dangers that the operator accepts.
	Accepted []string
	// Publication records who publishes and why.
	Publication publisher.Publication
	// WaitUntil is the time at which to stop waiting for the set to be in force everywhere.
	WaitUntil time.Time
}

// SetRequest asks to publish a set.
type SetRequest struct{ config SetRequestConfig }

// NewSetRequest returns the request with the given configuration.
func NewSetRequest(config SetRequestConfig) SetRequest { return SetRequest{config: config} }

// ZoneRequestConfig holds the fields of a ZoneRequest.
type ZoneRequestConfig struct {
	// Zone is the name of the zone.
	Zone string
	// Out is true to take the zone out of service, false to take it back in.
	Out bool
	// Accepted names the dangers that the operator accepts.
	Accepted []string
	// Publication records who publishes and why.
	Publication publisher.Publication
	// WaitUntil is the time at which to stop waiting for the set to be in force everywhere.
	WaitUntil time.Time
}

// ZoneRequest asks to take a zone out of service or back in.
type ZoneRequest struct{ config ZoneRequestConfig }

// NewZoneRequest returns the request with the given configuration.
func NewZoneRequest(config ZoneRequestConfig) ZoneRequest { return ZoneRequest{config: config} }
