package encoder

import (
	"errors"

	"lagoonlanding.example/lagoonlanding"
)

// InstanceID is the wire format of an instance ID.
type InstanceID struct {
	Name        string
	Incarnation uint64
}

// FromInstanceID encodes the ID.
func FromInstanceID(id lagoonlanding.InstanceID) InstanceID {
	return InstanceID{Name: id.Name(), Incarnation: id.Incarnation()}
}

// Value decodes the ID.
func (instanceid InstanceID) Value() lagoonlanding.InstanceID {
	return lagoonlanding.NewInstanceID(instanceid.Name, instanceid.Incarnation)
}

// Instance is the format of an instance in the store and in messages.
type Instance struct {
	Name             string `json:"name"`
	Incarnation      uint64 `json:"incarnation,string"`
	PeerAddress      string `json:"peer-address,omitempty"`
	CallerAddress    string `json:"caller-address,omitempty"`
	AvailabilityZone string `json:"availability-zone,omitempty"`
	Region           string `json:"region,omitempty"`
	Service          string `json:"service,omitempty"`
}

// FromInstance encodes the instance.
func FromInstance(instance lagoonlanding.Instance) Instance {
	return Instance{
		Name:             instance.ID().Name(),
		Incarnation:      instance.ID().Incarnation(),
		PeerAddress:      instance.PeerAddress(),
		CallerAddress:    instance.CallerAddress(),
		AvailabilityZone: instance.AvailabilityZone(),
		Region:           instance.Region(),
		Service:          instance.Service(),
	}
}

// Value decodes the instance.
func (instance Instance) Value() lagoonlanding.Instance {
	return lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{
		ID:               lagoonlanding.NewInstanceID(instance.Name, instance.Incarnation),
		PeerAddress:      instance.PeerAddress,
		CallerAddress:    instance.CallerAddress,
		AvailabilityZone: instance.AvailabilityZone,
		Region:           instance.Region,
		Service:          instance.Service,
	})
}

// GroupID is the wire format of a group ID.
type GroupID struct {
	Service   string
	Partition string
}

// FromGroupID encodes the ID.
func FromGroupID(id lagoonlanding.GroupID) GroupID {
	return GroupID{Service: id.Service(), Partition: id.Partition()}
}

var errGroupIDIncomplete = errors.New("the group ID has no service or no partition")

// Value decodes the ID.
func (groupid GroupID) Value() (lagoonlanding.GroupID, error) {
	if groupid.Service == "" || groupid.Partition == "" {
		return lagoonlanding.GroupID{}, errGroupIDIncomplete
	}
	return lagoonlanding.NewGroupID(groupid.Service, groupid.Partition), nil
}
