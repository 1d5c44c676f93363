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

func (form layout) value(instances []Instance) (lagoonlanding.Layout, error) {
	if form.Version == 0 {
		return lagoonlanding.Layout{}, errors.New("the version is zero")
	}
	if form.Shards < 0 || form.Shards > MaxShards {
		return lagoonlanding.Layout{}, fmt.Errorf("%d shards are outside 0 to %d", form.Shards, MaxShards)
	}
	config := lagoonlanding.LayoutConfig{Version: form.Version, Shards: form.Shards}
	for _, one := range form.Members {
		member, err := one.value(instances)
		if err != nil {
			return lagoonlanding.Layout{}, err
		}
		config.Members = append(config.Members, member)
	}
	for _, index := range form.Witnesses {
		witness, err := instanceAt(instances, index)
		if err != nil {
			return lagoonlanding.Layout{}, err
		}
		config.Witnesses = append(config.Witnesses, witness)
	}
	for _, one := range form.Pins {
		pin, err := one.value(instances, form.Shards)
		if err != nil {
			return lagoonlanding.Layout{}, err
		}
		config.Pins = append(config.Pins, pin)
	}
	return lagoonlanding.NewLayout(config), nil
}

func (form member) value(instances []Instance) (lagoonlanding.Member, error) {
	instance, err := instanceAt(instances, form.Instance)
	if err != nil {
		return lagoonlanding.Member{}, err
	}
	if form.Weight < 0 {
		return lagoonlanding.Member{}, fmt.Errorf("weight %d of member %s is negative", form.Weight, instance.ID())
	}
	state, err := parseState(form.State)
	if err != nil {
		return lagoonlanding.Member{}, err
	}
	return lagoonlanding.NewMember(instance, state, form.Weight), nil
}

func (form pin) value(instances []Instance, shards int) (lagoonlanding.Pin, error) {
	if form.Shard < 0 || form.Shard >= shards {
		return lagoonlanding.Pin{}, fmt.Errorf("pinned shard %d is outside the %d shards", form.Shard, shards)
	}
	owner, err := instanceAt(instances, form.Owner)
	if err != nil {
		return lagoonlanding.Pin{}, err
	}
	return lagoonlanding.NewPin(form.Shard, owner.ID()), nil
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
	case lagoonlanding.MemberOut:
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
		return lagoonlanding.MemberOut, nil
	case stateLeaving:
		return lagoonlanding.MemberLeaving, nil
	}
	return 0, fmt.Errorf("unknown member state %q", name)
}
