package lagoonlanding

import "fmt"

// InstanceID names one run of a daemon; a restarted daemon has another incarnation and inherits nothing.
type InstanceID struct {
	name        string
	incarnation uint64
}

// NewInstanceID returns the identity of a run of the named daemon.
func NewInstanceID(name string, incarnation uint64) InstanceID {
	return InstanceID{name: name, incarnation: incarnation}
}

// Name returns the daemon's name from its settings.
func (instanceid InstanceID) Name() string { return instanceid.name }

// Incarnation returns the number that tells runs of one daemon apart.
func (instanceid InstanceID) Incarnation() uint64 { return instanceid.incarnation }

// IsZero reports whether the identity is unset.
func (instanceid InstanceID) IsZero() bool { return instanceid == InstanceID{} }

// String returns the name and the incarnation for logs.
func (instanceid InstanceID) String() string {
	return fmt.Sprintf("%s#%x", instanceid.name, instanceid.incarnation)
}

// InstanceConfig holds what describes an Instance.
type InstanceConfig struct {
	// ID is the identity of the run.
	ID InstanceID
	// PeerAddress is the host and port for other daemons.
	PeerAddress string
	// CallerAddress is the host and port for callers.
	CallerAddress string
	// AvailabilityZone is the name of the zone that the daemon runs in.
	AvailabilityZone string
	// Region is the name of the zone's region.
	Region string
	// Service is the name of the service that the backend server beside the daemon runs.
	Service string
}

// Instance is one run of a daemon with the backend server beside it.
type Instance struct {
	config InstanceConfig
}

// NewInstance returns the instance that the configuration describes.
func NewInstance(config InstanceConfig) Instance { return Instance{config: config} }

// ID returns the identity of the run.
func (instance Instance) ID() InstanceID { return instance.config.ID }

// PeerAddress returns the host and port for other daemons.
func (instance Instance) PeerAddress() string { return instance.config.PeerAddress }

// CallerAddress returns the host and port for callers.
func (instance Instance) CallerAddress() string { return instance.config.CallerAddress }

// AvailabilityZone returns the zone's name.
func (instance Instance) AvailabilityZone() string { return instance.config.AvailabilityZone }

// Region returns the region's name.
func (instance Instance) Region() string { return instance.config.Region }

// Service returns the name of the service beside the daemon.
func (instance Instance) Service() string { return instance.config.Service }

// WithService returns the instance with the service that its backend server runs.
func (instance Instance) WithService(service string) Instance {
	instance.config.Service = service
	return instance
}
