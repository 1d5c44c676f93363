package receiver

import (
	"encoding/json"
	"net/http"
	"time"

	"lagoonlanding.example/storestandin/provider"
)

// maxSwitchesBytes bounds the body of a change of the switches.
const maxSwitchesBytes = 4 << 10

type switchesJSON struct {
	Down              bool `json:"down"`
	Silent            bool `json:"silent"`
	DelayMilliseconds int  `json:"delay-milliseconds"`
	LostAnswers       int  `json:"lost-answers"`
}

func (receiver *Receiver) counters(writer http.ResponseWriter, _ *http.Request) {
	var counters provider.Counters
	receiver.do(func(platform *provider.Platform) { counters = platform.Counters() })
	body, err := json.Marshal(counters)
	reply(writer, body, err)
}

func (receiver *Receiver) switches(writer http.ResponseWriter, _ *http.Request) {
	var switches provider.Switches
	receiver.do(func(platform *provider.Platform) { switches = platform.Switches() })
	body, err := json.Marshal(switchesJSON{
		Down:              switches.IsDown(),
		Silent:            switches.IsSilent(),
		DelayMilliseconds: int(switches.Delay().Milliseconds()),
		LostAnswers:       switches.LostAnswers(),
	})
	reply(writer, body, err)
}

func (receiver *Receiver) setSwitches(writer http.ResponseWriter, request *http.Request) {
	var wire switchesJSON
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxSwitchesBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wire); err != nil {
		fail(writer, err)
		return
	}
	switches := provider.NewSwitches(provider.SwitchesConfig{
		Down:        wire.Down,
		Silent:      wire.Silent,
		Delay:       time.Duration(wire.DelayMilliseconds) * time.Millisecond,
		LostAnswers: wire.LostAnswers,
	})
	receiver.do(func(platform *provider.Platform) { platform.SetSwitches(switches) })
	reply(writer, []byte("{}"), nil)
}
