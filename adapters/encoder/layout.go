package encoder

import (
	"errors"
	"fmt"

	"lagoonlanding.example/lagoonlanding"
)

// instanceTable collects the instances of a record, so that each is written once.
type instanceTable struct {
	instances []Instance
}

func (instancetable *instanceTable) index(instance Instance) int {
	for i, known := range instancetable.instances {
		if known == instance {
			return i
		}
	}
	instancetable.instances = append(instancetable.instances, instance)
	return len(instancetable.instances) - 1
}

func (instancetable *instanceTable) indexOfID(id lagoonlanding.InstanceID) int {
	for i, known := range instancetable.instances {
		if known.Name == id.Name() && known.Incarnation == id.Incarnation() {
			return i
		}
	}
	return instancetable.index(Instance{Name: id.Name(), Incarnation: id.Incarnation()})
}

func (instancetable *instanceTable) layout(value lagoonlanding.Layout) (layout, error) {
	form := layout{Version: value.Version(), Shards: value.Shards(), Members: []member{}, Witnesses: []int{}}
	for _, one := range value.Members() {
		state, err := formatState(one.State())
		if err != nil {
			return layout{}, err
		}
		index := instancetable.index(FromInstance(one.Instance()))
		form.Members = append(form.Members, member{Instance: index, State: state, Weight: one.Weight()})
	}
	for _, witness := range value.Witnesses() {
		form.Witnesses = append(form.Witnesses, instancetable.index(FromInstance(witness)))
	}
	for _, one := range value.Pins() {
		form.Pins = append(form.Pins, pin{Shard: one.Shard(), Owner: instancetable.indexOfID(one.Owner())})
	}
	return form, nil
}

func (layout layout) value(instances []Instance) (lagoonlanding.Layout, error) {
	if layout.Version == 0 {
		return lagoonlanding.Layout{}, errors.New("the version is zero")
	}
	if layout.Shards < 0 || layout.Shards > MaxShards {
		return lagoonlanding.Layout{}, fmt.Errorf("%d shards are outside 0 to %d", layout.Shards, MaxShards)
	}
	config := lagoonlanding.LayoutConfig{Version: layout.Version, Shards: layout.Shards}
	for _, one := range layout.Members {
		value, err := one.value(instances)
		if err != nil {
			return lagoonlanding.Layout{}, err
		}
		config.Members = append(config.Members, value)
	}
	for _, index := range layout.Witnesses {
		witness, err := instanceAt(instances, index)
		if err != nil {
			return lagoonlanding.Layout{}, err
		}
		config.Witnesses = append(config.Witnesses, witness)
	}
	for _, one := range layout.Pins {
		value, err := one.value(instances, layout.Shards)
		if err != nil {
			return lagoonlanding.Layout{}, err
		}
		config.Pins = append(config.Pins, value)
	}
	return lagoonlanding.NewLayout(config), nil
}

func (member member) value(instances []Instance) (lagoonlanding.Member, error) {
	instance, err := instanceAt(instances, member.Instance)
	if err != nil {
		return lagoonlanding.Member{}, err
	}
	if member.Weight < 0 {
		return lagoonlanding.Member{}, fmt.Errorf("weight %d of member %s is negative", member.Weight, instance.ID())
	}
	state, err := parseState(member.State)
	if err != nil {
		return lagoonlanding.Member{}, err
	}
	return lagoonlanding.NewMember(instance, state, member.Weight), nil
}

func (pin pin) value(instances []Instance, shards int) (lagoonlanding.Pin, error) {
	if pin.Shard < 0 || pin.Shard >= shards {
		return lagoonlanding.Pin{}, fmt.Errorf("pinned shard %d is outside the %d shards", pin.Shard, shards)
	}
	owner, err := instanceAt(instances, pin.Owner)
	if err != nil {
		return lagoonlanding.Pin{}, err
	}
	return lagoonlanding.NewPin(pin.Shard, owner.ID()), nil
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
