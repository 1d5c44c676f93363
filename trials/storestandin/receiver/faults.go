package receiver

import (
	"encoding/json"
	"net/http"
	"time"

	"lagoonlanding.example/storestandin/provider"
)

// maxFaultsBytes is the maximum size of the request body that sets the faults.
const maxFaultsBytes = 4 << 10

type faultsJSON struct {
	Down              bool `json:"down"`
	Silent            bool `json:"silent"`
	DelayMilliseconds int  `json:"delay-milliseconds"`
	LostReplies       int  `json:"lost-answers"`
}

func (receiver *Receiver) counters(writer http.ResponseWriter, _ *http.Request) {
	var counters provider.Counters
	receiver.do(func(store *provider.Store) { counters = store.Counters() })
	body, err := json.Marshal(counters)
	reply(writer, body, err)
}

func (receiver *Receiver) faults(writer http.ResponseWriter, _ *http.Request) {
	var faults provider.Faults
	receiver.do(func(store *provider.Store) { faults = store.Faults() })
	body, err := json.Marshal(faultsJSON{
		Down:              faults.IsDown(),
		Silent:            faults.IsSilent(),
		DelayMilliseconds: int(faults.Delay().Milliseconds()),
		LostReplies:       faults.LostReplies(),
	})
	reply(writer, body, err)
}

func (receiver *Receiver) setFaults(writer http.ResponseWriter, request *http.Request) {
	var wire faultsJSON
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxFaultsBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wire); err != nil {
		replyError(writer, err)
		return
	}
	faults := provider.NewFaults(provider.FaultsConfig{
		Down:        wire.Down,
		Silent:      wire.Silent,
		Delay:       time.Duration(wire.DelayMilliseconds) * time.Millisecond,
		LostReplies: wire.LostReplies,
	})
	receiver.do(func(store *provider.Store) { store.SetFaults(faults) })
	reply(writer, []byte("{}"), nil)
}
