package receiver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"lagoonlanding.example/storestandin/provider"
)

type leaseJSON struct {
	Lease provider.LeaseID `json:"lease"`
}

func (receiver *Receiver) grant(writer http.ResponseWriter, request *http.Request) {
	term, err := time.ParseDuration(request.FormValue("term"))
	if err != nil {
		fail(writer, err)
		return
	}
	var id provider.LeaseID
	receiver.do(func(platform *provider.Platform) { id = platform.Grant(term, time.Now()) })
	body, err := json.Marshal(leaseJSON{Lease: id})
	reply(writer, body, err)
}

func (receiver *Receiver) renew(writer http.ResponseWriter, request *http.Request) {
	receiver.onLease(writer, request, func(platform *provider.Platform, id provider.LeaseID) error {
		return platform.Renew(id, time.Now())
	})
}

func (receiver *Receiver) revoke(writer http.ResponseWriter, request *http.Request) {
	receiver.onLease(writer, request, func(platform *provider.Platform, id provider.LeaseID) error {
		return platform.Revoke(id)
	})
}

func (receiver *Receiver) onLease(writer http.ResponseWriter, request *http.Request, call func(*provider.Platform, provider.LeaseID) error) {
	id, err := leaseID(request.URL.Query().Get("lease"))
	if err != nil {
		fail(writer, err)
		return
	}
	receiver.do(func(platform *provider.Platform) { err = call(platform, id) })
	reply(writer, []byte("{}"), err)
}

func leaseID(text string) (provider.LeaseID, error) {
	if text == "" {
		return 0, nil
	}
	id, err := strconv.ParseUint(text, 10, 64)
	return provider.LeaseID(id), err
}
