package lagoonlanding

import (
	"context"
	"time"
)

// Fingerprint is a hash of a request's contents that identifies equal requests without storing the contents.
type Fingerprint [16]byte

// Crash identifies one crash of a backend server across the fleet.
type Crash struct {
	id     uint64
	single bool
}

// NewCrash returns a crash; single means that exactly one request was in flight.
func NewCrash(id uint64, single bool) Crash { return Crash{id: id, single: single} }

// ID returns the identifier of the crash.
func (crash Crash) ID() uint64 { return crash.id }

// IsSingleRequest reports whether exactly one request was in flight.
func (crash Crash) IsSingleRequest() bool { return crash.single }

// Suspect is a request fingerprint that was in flight during crashes; instances exchange no other data about a request.
type Suspect struct {
	fingerprint Fingerprint
	workspace   string
	expires     time.Time
	crashes     []Crash
	cleared     []Crash
}

// SuspectConfig holds the fields of a Suspect.
type SuspectConfig struct {
	// Fingerprint is the fingerprint of the request.
	Fingerprint Fingerprint
	// Workspace is the workspace whose home regions the suspect must not leave.
	Workspace string
	// Expires is when the suspect is discarded.
	Expires time.Time
	// Crashes are the crashes during which the request was in flight.
	Crashes []Crash
	// Cleared are the crashes that the request is known not to have caused.
	Cleared []Crash
}

// NewSuspect returns a suspect with the given configuration.
func NewSuspect(config SuspectConfig) Suspect {
	return Suspect{
		fingerprint: config.Fingerprint, workspace: config.Workspace, expires: config.Expires,
		crashes: config.Crashes, cleared: config.Cleared,
	}
}

// Fingerprint returns the fingerprint of the request.
func (suspect Suspect) Fingerprint() Fingerprint { return suspect.fingerprint }

// Workspace returns the workspace whose home regions the suspect must not leave.
func (suspect Suspect) Workspace() string { return suspect.workspace }

// Expires returns when the suspect is discarded.
func (suspect Suspect) Expires() time.Time { return suspect.expires }

// Crashes returns the crashes during which the request was in flight.
func (suspect Suspect) Crashes() []Crash { return suspect.crashes }

// Cleared returns the crashes that the request is known not to have caused.
func (suspect Suspect) Cleared() []Crash { return suspect.cleared }

// SuspectNotice sends the suspects of a service to another instance.
type SuspectNotice struct {
	service  string
	region   string
	suspects []Suspect
}

// NewSuspectNotice returns a notice of a service's suspects from an instance in the region.
func NewSuspectNotice(service, region string, suspects []Suspect) SuspectNotice {
	return SuspectNotice{service: service, region: region, suspects: suspects}
}

// Service returns the name of the service whose backend servers crashed.
func (suspectnotice SuspectNotice) Service() string { return suspectnotice.service }

// Region returns the sender's region, which restricts the suspects that the sender may receive in reply.
func (suspectnotice SuspectNotice) Region() string { return suspectnotice.region }

// Suspects returns the suspects.
func (suspectnotice SuspectNotice) Suspects() []Suspect { return suspectnotice.suspects }

// SuspectPeers sends suspects to other daemons.
type SuspectPeers interface {
	// Accuse sends suspects to an instance and returns the suspects known there.
	Accuse(ctx context.Context, to Instance, notice SuspectNotice) (SuspectNotice, error)
}

// SuspectHandler handles suspects from other daemons.
type SuspectHandler interface {
	// OnSuspects records the suspects and returns those of the same service that this instance knows.
	OnSuspects(notice SuspectNotice) SuspectNotice
}
