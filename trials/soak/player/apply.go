package player

import (
	"fmt"
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/soak/drawer"
)

// apply lets one event happen.
func (fleet *Fleet) apply(event drawer.Event) {
	if fleet.applyTraffic(event) {
		return
	}
	fleet.counts["event "+string(event.Kind())]++
	if event.Kind() != drawer.KindPause {
		fleet.note("event: %s", event)
	}
	if !fleet.applyAimed(event) && !fleet.applyProcess(event) && !fleet.applyNetwork(event) {
		fleet.applyStore(event)
	}
}

func (fleet *Fleet) applyTraffic(event drawer.Event) bool {
	switch event.Kind() {
	case drawer.KindRequest:
		fleet.request(event)
	case drawer.KindResend:
		fleet.resend(event)
	default:
		return false
	}
	return true
}

func (fleet *Fleet) applyProcess(event drawer.Event) bool {
	number := event.Subject() % len(fleet.processes)
	process := fleet.processes[number]
	if event.Kind() == drawer.KindRestart {
		fleet.restart(event)
		return true
	}
	switch event.Kind() {
	case drawer.KindKill, drawer.KindReplace, drawer.KindFreeze, drawer.KindLeave, drawer.KindDrift:
	default:
		return false
	}
	if process == nil {
		return true
	}
	switch event.Kind() {
	case drawer.KindKill:
		process.kill()
	case drawer.KindReplace:
		process.kill()
		fleet.start(process.slot)
	case drawer.KindFreeze:
		process.freeze(event.Duration())
	case drawer.KindLeave:
		process.leave()
	case drawer.KindDrift:
		process.clock.SetDrift(fleet.drawDrift(event.Parameter()))
	}
	return true
}

// restart starts a daemon that has ended, if one has.
func (fleet *Fleet) restart(event drawer.Event) {
	number := event.Subject() % len(fleet.processes)
	for offset := range fleet.processes {
		candidate := (number + offset) % len(fleet.processes)
		if fleet.processes[candidate] == nil {
			fleet.start(fleet.shape.slots[candidate])
			return
		}
	}
}

func (fleet *Fleet) applyNetwork(event drawer.Event) bool {
	slots := fleet.shape.slots
	subject, object := slots[event.Subject()%len(slots)], slots[event.Object()%len(slots)]
	term := event.Duration()
	switch event.Kind() {
	case drawer.KindCutDaemons:
		fleet.network.cutBoth(slotName(subject.number), slotName(object.number), term)
	case drawer.KindCutZone:
		for _, zone := range fleet.shape.zones {
			fleet.network.cutBoth(subject.zone, zone.Name(), term)
		}
		fleet.network.cutBoth(subject.zone, fleet.store.place.zone, term)
	case drawer.KindCutRegions:
		fleet.network.cutBoth(subject.region, object.region, term)
	case drawer.KindCutOneWay:
		fleet.network.cut(subject.zone, object.zone, term)
	case drawer.KindCutStore:
		fleet.network.cutBoth(slotName(subject.number), slotName(storeSlot), term)
	case drawer.KindMessageLoss:
		fleet.during(term, &fleet.network.lossPercent, 5+event.Parameter()%40)
	case drawer.KindMessageDelay:
		fleet.during(term, &fleet.network.delayPercent, 10+event.Parameter()%60)
	default:
		return false
	}
	return true
}

func (network *network) cutBoth(a, b string, term time.Duration) {
	network.cut(a, b, term)
	network.cut(b, a, term)
}

func (fleet *Fleet) during(term time.Duration, value *int, added int) {
	*value += added
	fleet.timer.AfterFunc(term, func() { *value -= added })
}

func (fleet *Fleet) applyStore(event drawer.Event) {
	zone := fleet.shape.zones[event.Subject()%len(fleet.shape.zones)].Name()
	other := fleet.shape.zones[event.Object()%len(fleet.shape.zones)].Name()
	switch event.Kind() {
	case drawer.KindStoreDown:
		fleet.store.down(event.Duration())
	case drawer.KindStoreSlow:
		fleet.store.slowDown(event.Duration())
	case drawer.KindStoreLoss:
		fleet.store.loseAnswers += 1 + event.Parameter()%3
	case drawer.KindZoneOut:
		fleet.operate(0, map[string]bool{zone: true})
	case drawer.KindZoneReturn:
		fleet.operate(0, nil)
	case drawer.KindOperatorsRace:
		fleet.operate(0, map[string]bool{zone: true})
		fleet.operate(time.Millisecond, map[string]bool{other: true})
	}
}

const operatorDelay = 20 * time.Millisecond

// operate lets an operator read the set and write its successor, unless another was faster or the store is down.
func (fleet *Fleet) operate(delay time.Duration, out map[string]bool) {
	if fleet.store.outages > 0 {
		fleet.counts["operator refused"]++
		return
	}
	version, revision := fleet.published()
	fleet.timer.AfterFunc(operatorDelay+delay, func() {
		value, _ := setCodec{shape: fleet.shape}.Encode(fleet.shape.set(version+1, out))
		if fleet.store.outages > 0 {
			fleet.counts["operator refused"]++
			return
		}
		if _, err := fleet.store.table.Swap(lagoonlanding.SetKey, revision, value); err != nil {
			fleet.counts["operator lost a race"]++
			return
		}
		fleet.store.wrote(lagoonlanding.SetKey)
	})
}

// describe returns a record in one line.
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
