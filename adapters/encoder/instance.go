package encoder

import (
	"errors"

	"lagoonlanding.example/lagoonlanding"
)

// InstanceID is the form of an instance's identity in messages.
type InstanceID struct {
	Name        string
	Incarnation uint64
}

// FromInstanceID returns the form of the identity.
func FromInstanceID(id lagoonlanding.InstanceID) InstanceID {
	return InstanceID{Name: id.Name(), Incarnation: id.Incarnation()}
}

// Value returns the identity.
func (instanceid InstanceID) Value() lagoonlanding.InstanceID {
	return lagoonlanding.NewInstanceID(instanceid.Name, instanceid.Incarnation)
}

// Instance is the form of an instance in the store and in messages.
type Instance struct {
	Name             string `json:"name"`
	Incarnation      uint64 `json:"incarnation,string"`
	PeerAddress      string `json:"peer-address,omitempty"`
	CallerAddress    string `json:"caller-address,omitempty"`
	AvailabilityZone string `json:"availability-zone,omitempty"`
	Region           string `json:"region,omitempty"`
	Service          string `json:"service,omitempty"`
}

// FromInstance returns the form of the instance.
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

// Value returns the instance.
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

// GroupID is the form of a group's identity in messages.
type GroupID struct {
	Service   string
	Partition string
}

// FromGroupID returns the form of the identity.
func FromGroupID(id lagoonlanding.GroupID) GroupID {
	return GroupID{Service: id.Service(), Partition: id.Partition()}
}

var errGroupUnnamed = errors.New("a group lacks its service or its partition")

// Value returns the identity of the group.
func (groupid GroupID) Value() (lagoonlanding.GroupID, error) {
	if groupid.Service == "" || groupid.Partition == "" {
		return lagoonlanding.GroupID{}, errGroupUnnamed
	}
	return lagoonlanding.NewGroupID(groupid.Service, groupid.Partition), nil
}
