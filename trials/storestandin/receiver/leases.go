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
	ttl, err := time.ParseDuration(request.FormValue("term"))
	if err != nil {
		replyError(writer, err)
		return
	}
	var id provider.LeaseID
	receiver.do(func(store *provider.Store) { id = store.Grant(ttl, time.Now()) })
	body, err := json.Marshal(leaseJSON{Lease: id})
	reply(writer, body, err)
}

func (receiver *Receiver) renew(writer http.ResponseWriter, request *http.Request) {
	receiver.withLease(writer, request, func(store *provider.Store, id provider.LeaseID) error {
		return store.Renew(id, time.Now())
	})
}

func (receiver *Receiver) revoke(writer http.ResponseWriter, request *http.Request) {
	receiver.withLease(writer, request, func(store *provider.Store, id provider.LeaseID) error {
		return store.Revoke(id)
	})
}

// withLease runs the call with the lease ID of the request and replies with its error or an empty object.
func (receiver *Receiver) withLease(writer http.ResponseWriter, request *http.Request, call func(*provider.Store, provider.LeaseID) error) {
	id, err := parseLeaseID(request.URL.Query().Get("lease"))
	if err != nil {
		replyError(writer, err)
		return
	}
	receiver.do(func(store *provider.Store) { err = call(store, id) })
	reply(writer, []byte("{}"), err)
}

// parseLeaseID parses the ID of a lease; an empty text stands for no lease.
func parseLeaseID(text string) (provider.LeaseID, error) {
	if text == "" {
		return 0, nil
	}
	id, err := strconv.ParseUint(text, 10, 64)
	return provider.LeaseID(id), err
}
