package encoder

import (
	"errors"
	"fmt"

	"lagoonlanding.example/lagoonlanding"
)

// instanceTable assigns an index to each instance of a record, so that each is stored once.
type instanceTable struct {
	instances []Instance
}

// index returns the index of the instance and adds the instance if it is not in the table.
func (instancetable *instanceTable) index(instance Instance) int {
	for i, known := range instancetable.instances {
		if known == instance {
			return i
		}
	}
	instancetable.instances = append(instancetable.instances, instance)
	return len(instancetable.instances) - 1
}

// indexOfID returns the index of the instance with the ID; an instance that no member or witness has is added without addresses.
func (instancetable *instanceTable) indexOfID(id lagoonlanding.InstanceID) int {
	for i, known := range instancetable.instances {
		if known.Name == id.Name() && known.Incarnation == id.Incarnation() {
			return i
		}
	}
	return instancetable.index(Instance{Name: id.Name(), Incarnation: id.Incarnation()})
}

// layout returns the wire format of the layout and adds its instances to the table.
func (instancetable *instanceTable) layout(value lagoonlanding.Layout) (wireLayout, error) {
	wirelayout := wireLayout{Version: value.Version(), Shards: value.Shards(), Members: []wireMember{}, Witnesses: []int{}}
	for _, member := range value.Members() {
		state, err := formatState(member.State())
		if err != nil {
			return wireLayout{}, err
		}
		index := instancetable.index(FromInstance(member.Instance()))
		wirelayout.Members = append(wirelayout.Members, wireMember{Instance: index, State: state, Weight: member.Weight()})
	}
	for _, witness := range value.Witnesses() {
		wirelayout.Witnesses = append(wirelayout.Witnesses, instancetable.index(FromInstance(witness)))
	}
	for _, pin := range value.Pins() {
		wirelayout.Pins = append(wirelayout.Pins, wirePin{Shard: pin.Shard(), Owner: instancetable.indexOfID(pin.Owner())})
	}
	return wirelayout, nil
}

func (wirelayout wireLayout) value(instances []Instance) (lagoonlanding.Layout, error) {
	if wirelayout.Version == 0 {
		return lagoonlanding.Layout{}, errors.New("the layout version is zero")
	}
	if wirelayout.Shards < 0 || wirelayout.Shards > MaxShards {
		return lagoonlanding.Layout{}, fmt.Errorf("%d shards: the number of shards must be 0 to %d", wirelayout.Shards, MaxShards)
	}
	config := lagoonlanding.LayoutConfig{Version: wirelayout.Version, Shards: wirelayout.Shards}
	for _, wiremember := range wirelayout.Members {
		member, err := wiremember.value(instances)
		if err != nil {
			return lagoonlanding.Layout{}, err
		}
		config.Members = append(config.Members, member)
	}
	for _, index := range wirelayout.Witnesses {
		witness, err := instanceAt(instances, index)
		if err != nil {
			return lagoonlanding.Layout{}, err
		}
		config.Witnesses = append(config.Witnesses, witness)
	}
	for _, wirepin := range wirelayout.Pins {
		pin, err := wirepin.value(instances, wirelayout.Shards)
		if err != nil {
			return lagoonlanding.Layout{}, err
		}
		config.Pins = append(config.Pins, pin)
	}
	return lagoonlanding.NewLayout(config), nil
}

func (wiremember wireMember) value(instances []Instance) (lagoonlanding.Member, error) {
	instance, err := instanceAt(instances, wiremember.Instance)
	if err != nil {
		return lagoonlanding.Member{}, err
	}
	if wiremember.Weight < 0 {
		return lagoonlanding.Member{}, fmt.Errorf("weight %d of member %s is negative", wiremember.Weight, instance.ID())
	}
	state, err := parseState(wiremember.State)
	if err != nil {
		return lagoonlanding.Member{}, err
	}
	return lagoonlanding.NewMember(instance, state, wiremember.Weight), nil
}

func (wirepin wirePin) value(instances []Instance, shards int) (lagoonlanding.Pin, error) {
	if wirepin.Shard < 0 || wirepin.Shard >= shards {
		return lagoonlanding.Pin{}, fmt.Errorf("pinned shard %d is outside the %d shards", wirepin.Shard, shards)
	}
	owner, err := instanceAt(instances, wirepin.Owner)
	if err != nil {
		return lagoonlanding.Pin{}, err
	}
	return lagoonlanding.NewPin(wirepin.Shard, owner.ID()), nil
}

func instanceAt(instances []Instance, index int) (lagoonlanding.Instance, error) {
	if index < 0 || index >= len(instances) {
		return lagoonlanding.Instance{}, fmt.Errorf("instance %d is not listed", index)
	}
	if instances[index].Name == "" {
		return lagoonlanding.Instance{}, fmt.Errorf("instance %d has no name", index)
	}
	return instances[index].Value(), nil
}

func formatState(state lagoonlanding.MemberState) (string, error) {
	switch state {
	case lagoonlanding.MemberActive:
		return stateActive, nil
	case lagoonlanding.MemberOutOfService:
		return stateOut, nil
	case lagoonlanding.MemberLeaving:
		return stateLeaving, nil
	}
	return "", fmt.Errorf("unknown member state %d", state)
}

func parseState(name string) (lagoonlanding.MemberState, error) {
	switch name {
	case stateActive:
		return lagoonlanding.MemberActive, nil
	case stateOut:
		return lagoonlanding.MemberOutOfService, nil
	case stateLeaving:
		return lagoonlanding.MemberLeaving, nil
	}
	return 0, fmt.Errorf("unknown member state %q", name)
}
