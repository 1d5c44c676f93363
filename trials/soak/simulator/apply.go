package simulator

import (
	"fmt"
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/soak/generator"
)

// apply applies one event.
func (fleet *Fleet) apply(event generator.Event) {
	if fleet.applyTraffic(event) {
		return
	}
	fleet.counts["event "+string(event.Kind())]++
	if event.Kind() != generator.KindPause {
		fleet.trace("event: %s", event)
	}
	if !fleet.applyTargeted(event) && !fleet.applyProcess(event) && !fleet.applyNetwork(event) {
		fleet.applyStore(event)
	}
}

func (fleet *Fleet) applyTraffic(event generator.Event) bool {
	switch event.Kind() {
	case generator.KindRequest:
		fleet.startOperation(event)
	case generator.KindResend:
		fleet.resend(event)
	default:
		return false
	}
	return true
}

func (fleet *Fleet) applyProcess(event generator.Event) bool {
	number := event.Subject() % len(fleet.processes)
	process := fleet.processes[number]
	if event.Kind() == generator.KindRestart {
		fleet.restart(event)
		return true
	}
	switch event.Kind() {
	case generator.KindKill, generator.KindReplace, generator.KindFreeze, generator.KindLeave, generator.KindDrift:
	default:
		return false
	}
	if process == nil {
		return true
	}
	switch event.Kind() {
	case generator.KindKill:
		process.kill()
	case generator.KindReplace:
		process.kill()
		fleet.startProcess(process.slot)
	case generator.KindFreeze:
		process.freeze(event.Duration())
	case generator.KindLeave:
		process.startLeaving()
	case generator.KindDrift:
		process.clock.SetDrift(fleet.driftFor(event.Parameter()))
	}
	return true
}

// restart starts a terminated daemon, if there is one.
func (fleet *Fleet) restart(event generator.Event) {
	number := event.Subject() % len(fleet.processes)
	for offset := range fleet.processes {
		candidate := (number + offset) % len(fleet.processes)
		if fleet.processes[candidate] == nil {
			fleet.startProcess(fleet.topology.slots[candidate])
			return
		}
	}
}

func (fleet *Fleet) applyNetwork(event generator.Event) bool {
	slots := fleet.topology.slots
	subject, object := slots[event.Subject()%len(slots)], slots[event.Object()%len(slots)]
	duration := event.Duration()
	switch event.Kind() {
	case generator.KindCutDaemons:
		fleet.network.cutBoth(slotName(subject.number), slotName(object.number), duration)
	case generator.KindCutZone:
		for _, zone := range fleet.topology.zones {
			fleet.network.cutBoth(subject.zone, zone.Name(), duration)
		}
		fleet.network.cutBoth(subject.zone, fleet.store.endpoint.zone, duration)
	case generator.KindCutRegions:
		fleet.network.cutBoth(subject.region, object.region, duration)
	case generator.KindCutOneWay:
		fleet.network.cut(subject.zone, object.zone, duration)
	case generator.KindCutStore:
		fleet.network.cutBoth(slotName(subject.number), slotName(storeSlot), duration)
	case generator.KindMessageLoss:
		fleet.raiseFor(duration, &fleet.network.lossPercent, 5+event.Parameter()%40)
	case generator.KindMessageDelay:
		fleet.raiseFor(duration, &fleet.network.delayPercent, 10+event.Parameter()%60)
	default:
		return false
	}
	return true
}

// cutBoth drops all messages in both directions for the duration.
func (network *network) cutBoth(a, b string, duration time.Duration) {
	network.cut(a, b, duration)
	network.cut(b, a, duration)
}

// raiseFor increases a value for the duration.
func (fleet *Fleet) raiseFor(duration time.Duration, value *int, added int) {
	*value += added
	fleet.timer.AfterFunc(duration, func() { *value -= added })
}

func (fleet *Fleet) applyStore(event generator.Event) {
	zone := fleet.topology.zones[event.Subject()%len(fleet.topology.zones)].Name()
	other := fleet.topology.zones[event.Object()%len(fleet.topology.zones)].Name()
	switch event.Kind() {
	case generator.KindStoreDown:
		fleet.store.startOutage(event.Duration())
	case generator.KindStoreSlow:
		fleet.store.startSlowdown(event.Duration())
	case generator.KindStoreLoss:
		fleet.store.responsesToDrop += 1 + event.Parameter()%3
	case generator.KindZoneOut:
		fleet.publishAsOperator(0, map[string]bool{zone: true})
	case generator.KindZoneReturn:
		fleet.publishAsOperator(0, nil)
	case generator.KindOperatorsRace:
		fleet.publishAsOperator(0, map[string]bool{zone: true})
		fleet.publishAsOperator(time.Millisecond, map[string]bool{other: true})
	}
}

const operatorDelay = 20 * time.Millisecond

// publishAsOperator reads the set and writes the next version after a delay, as an operator does.
//
// It fails if another operator has written first or the store is down.
func (fleet *Fleet) publishAsOperator(delay time.Duration, out map[string]bool) {
	if fleet.store.outageCount > 0 {
		fleet.counts["operator refused"]++
		return
	}
	version, revision := fleet.publishedVersion()
	fleet.timer.AfterFunc(operatorDelay+delay, func() {
		value, _ := setCodec{topology: fleet.topology}.Encode(fleet.topology.set(version+1, out))
		if fleet.store.outageCount > 0 {
			fleet.counts["operator refused"]++
			return
		}
		if _, err := fleet.store.table.CompareAndSwap(lagoonlanding.SetKey, revision, value); err != nil {
			fleet.counts["operator lost a race"]++
			return
		}
		fleet.store.onWrite(lagoonlanding.SetKey)
	})
}

// describe formats a record as one line.
func describe(record lagoonlanding.Record) string {
	var members, witnesses []string
	for _, member := range record.Current().Members() {
		text := member.ID().String()
		if member.State() != lagoonlanding.MemberActive {
			text = "(" + text + ")"
		}
		members = append(members, text)
	}
	for _, witness := range record.Current().Witnesses() {
		witnesses = append(witnesses, witness.ID().String())
	}
	return fmt.Sprintf("%s layout %d: members %s, witnesses %s", record.Group(), record.Version(),
		strings.Join(members, " "), strings.Join(witnesses, " "))
}
