package receiver

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/storer/encoder"
	"lagoonlanding.example/storestandin/provider"
)

func (receiver *Receiver) get(writer http.ResponseWriter, request *http.Request) {
	var entry lagoonlanding.Entry
	var err error
	receiver.do(func(store *provider.Store) { entry, err = store.Get(request.FormValue("key")) })
	if err != nil {
		replyError(writer, err)
		return
	}
	body, err := encoder.EncodeEntry(entry)
	reply(writer, body, err)
}

func (receiver *Receiver) list(writer http.ResponseWriter, request *http.Request) {
	var listing lagoonlanding.Listing
	receiver.do(func(store *provider.Store) { listing = store.List(request.FormValue("prefix")) })
	body, err := encoder.EncodeListing(listing)
	reply(writer, body, err)
}

func (receiver *Receiver) compareAndSwap(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	expected, err := strconv.ParseUint(query.Get("expected"), 10, 64)
	if err != nil {
		replyError(writer, err)
		return
	}
	id, err := parseLeaseID(query.Get("lease"))
	if err != nil {
		replyError(writer, err)
		return
	}
	// Reading one byte above the maximum is enough to detect a value that is too large.
	value, err := io.ReadAll(io.LimitReader(request.Body, provider.MaxValueBytes+1))
	if err != nil {
		replyError(writer, err)
		return
	}
	var revision uint64
	var isLost bool
	receiver.do(func(store *provider.Store) {
		revision, err = store.CompareAndSwap(query.Get("key"), expected, value, id)
		isLost = err == nil && store.ConsumeLostReply()
	})
	if isLost {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		replyError(writer, err)
		return
	}
	body, err := encoder.EncodeRevision(revision)
	reply(writer, body, err)
}

func (receiver *Receiver) watch(writer http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseUint(request.FormValue("after"), 10, 64)
	if err != nil {
		replyError(writer, err)
		return
	}
	wait, err := time.ParseDuration(request.FormValue("wait"))
	if err != nil {
		replyError(writer, err)
		return
	}
	listing, err := receiver.waitForEntries(request, request.FormValue("prefix"), after, min(wait, maxWatchTimeout))
	if err != nil {
		replyError(writer, err)
		return
	}
	body, err := encoder.EncodeListing(listing)
	reply(writer, body, err)
}

// waitForEntries returns the entries under the prefix that were written after the revision, or an empty listing after the wait.
func (receiver *Receiver) waitForEntries(request *http.Request, prefix string, after uint64, wait time.Duration) (lagoonlanding.Listing, error) {
	timeout := time.After(wait)
	for {
		var listing lagoonlanding.Listing
		var changed <-chan struct{}
		var faults provider.Faults
		receiver.do(func(store *provider.Store) {
			listing, changed, faults = store.Newer(prefix, after), store.Changed(), store.Faults()
		})
		if faults.IsDown() {
			return listing, lagoonlanding.ErrUnavailable
		}
		injectDelay(request.Context(), faults)
		if len(listing.Entries()) > 0 {
			return listing, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return listing, nil
		case <-request.Context().Done():
			return listing, request.Context().Err()
		}
	}
}
