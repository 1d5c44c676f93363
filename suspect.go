package lagoonlanding

import (
	"context"
	"time"
)

// Fingerprint tells requests with the same contents from others without holding the contents.
type Fingerprint [16]byte

// Crash names one crash of a backend server in the whole fleet.
type Crash struct {
	id    uint64
	alone bool
}

// NewCrash returns the crash with its name; alone says that one request only was in flight.
func NewCrash(id uint64, alone bool) Crash { return Crash{id: id, alone: alone} }

// ID returns the name of the crash.
func (crash Crash) ID() uint64 { return crash.id }

// IsAlone reports whether one request only was in flight.
func (crash Crash) IsAlone() bool { return crash.alone }

// Suspect is what is known of a fingerprint that was in flight at crashes; it is all that instances tell each other of a request.
type Suspect struct {
	fingerprint Fingerprint
	workspace   string
	expires     time.Time
	crashes     []Crash
	cleared     []Crash
}

// SuspectConfig holds the parts of a Suspect.
type SuspectConfig struct {
	// Fingerprint is the fingerprint of the request.
	Fingerprint Fingerprint
	// Workspace names the workspace whose home regions the suspect must not leave.
	Workspace string
	// Expires is when the suspect is forgotten.
	Expires time.Time
	// Crashes are the crashes at which the request was in flight.
	Crashes []Crash
	// Cleared are those of the crashes that the request has not caused.
	Cleared []Crash
}

// NewSuspect returns the suspect that the configuration describes.
func NewSuspect(config SuspectConfig) Suspect {
	return Suspect{
		fingerprint: config.Fingerprint, workspace: config.Workspace, expires: config.Expires,
		crashes: config.Crashes, cleared: config.Cleared,
	}
}

// Fingerprint returns the fingerprint of the request.
func (suspect Suspect) Fingerprint() Fingerprint { return suspect.fingerprint }

// Workspace returns the name of the workspace whose home regions the suspect must not leave.
func (suspect Suspect) Workspace() string { return suspect.workspace }

// Expires returns when the suspect is forgotten.
func (suspect Suspect) Expires() time.Time { return suspect.expires }

// Crashes returns the crashes at which the request was in flight.
func (suspect Suspect) Crashes() []Crash { return suspect.crashes }

// Cleared returns those of the crashes that the request has not caused.
func (suspect Suspect) Cleared() []Crash { return suspect.cleared }

// SuspectNotice tells another instance of the suspects of a service.
type SuspectNotice struct {
	service  string
	region   string
	suspects []Suspect
}

// NewSuspectNotice returns the notice of a service's suspects by an instance in the region.
func NewSuspectNotice(service, region string, suspects []Suspect) SuspectNotice {
	return SuspectNotice{service: service, region: region, suspects: suspects}
}

// Service returns the name of the service whose backend servers crashed.
func (suspectnotice SuspectNotice) Service() string { return suspectnotice.service }

// Region returns the region of the instance that gives the notice, which bounds what it may be told in return.
func (suspectnotice SuspectNotice) Region() string { return suspectnotice.region }

// Suspects returns the suspects.
func (suspectnotice SuspectNotice) Suspects() []Suspect { return suspectnotice.suspects }

// SuspectPeers carries suspects to the daemons of other instances.
type SuspectPeers interface {
	// Accuse tells an instance of suspects and returns those that it knows.
	Accuse(ctx context.Context, to Instance, notice SuspectNotice) (SuspectNotice, error)
}

// SuspectHandler takes suspects from other daemons.
type SuspectHandler interface {
	// OnSuspects takes the suspects and returns those of the same service that this instance knows.
	OnSuspects(notice SuspectNotice) SuspectNotice
}
