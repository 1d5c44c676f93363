package lagoonlanding

import "fmt"

// InstanceID identifies one run of a daemon; a restarted daemon gets a new incarnation and keeps no leases or shards.
type InstanceID struct {
	name        string
	incarnation uint64
}

// NewInstanceID returns the identity of one run of the named daemon.
func NewInstanceID(name string, incarnation uint64) InstanceID {
	return InstanceID{name: name, incarnation: incarnation}
}

// Name returns the configured name of the daemon.
func (instanceid InstanceID) Name() string { return instanceid.name }

// Incarnation returns the number that distinguishes runs of the same daemon.
func (instanceid InstanceID) Incarnation() uint64 { return instanceid.incarnation }

// IsZero reports whether the identity is unset.
func (instanceid InstanceID) IsZero() bool { return instanceid == InstanceID{} }

// String formats the name and the incarnation for logs.
func (instanceid InstanceID) String() string {
	return fmt.Sprintf("%s#%x", instanceid.name, instanceid.incarnation)
}

// InstanceConfig holds the fields of an Instance.
type InstanceConfig struct {
	// ID is the identity of the run.
	ID InstanceID
	// PeerAddress is the host and port at which other daemons connect.
	PeerAddress string
	// CallerAddress is the host and port at which callers connect.
	CallerAddress string
	// AvailabilityZone is the availability zone of the daemon.
	AvailabilityZone string
	// Region is the region of the availability zone.
	Region string
	// Service is the service that the backend server beside the daemon provides.
	Service string
}

// Instance describes one run of a daemon and the backend server beside it.
type Instance struct {
	config InstanceConfig
}

// NewInstance returns an instance with the given configuration.
func NewInstance(config InstanceConfig) Instance { return Instance{config: config} }

// ID returns the identity of the run.
func (instance Instance) ID() InstanceID { return instance.config.ID }

// PeerAddress returns the host and port at which other daemons connect.
func (instance Instance) PeerAddress() string { return instance.config.PeerAddress }

// CallerAddress returns the host and port at which callers connect.
func (instance Instance) CallerAddress() string { return instance.config.CallerAddress }

// AvailabilityZone returns the availability zone of the daemon.
func (instance Instance) AvailabilityZone() string { return instance.config.AvailabilityZone }

// Region returns the region of the availability zone.
func (instance Instance) Region() string { return instance.config.Region }

// Service returns the service that the backend server provides.
func (instance Instance) Service() string { return instance.config.Service }

// WithService returns a copy of the instance with the given service.
func (instance Instance) WithService(service string) Instance {
	instance.config.Service = service
	return instance
}
