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
	receiver.do(func(platform *provider.Platform) { entry, err = platform.Get(request.FormValue("key")) })
	if err != nil {
		fail(writer, err)
		return
	}
	body, err := encoder.EncodeEntry(entry)
	reply(writer, body, err)
}

func (receiver *Receiver) list(writer http.ResponseWriter, request *http.Request) {
	var listing lagoonlanding.Listing
	receiver.do(func(platform *provider.Platform) { listing = platform.List(request.FormValue("prefix")) })
	body, err := encoder.EncodeListing(listing)
	reply(writer, body, err)
}

func (receiver *Receiver) swap(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	expected, err := strconv.ParseUint(query.Get("expected"), 10, 64)
	if err != nil {
		fail(writer, err)
		return
	}
	id, err := leaseID(query.Get("lease"))
	if err != nil {
		fail(writer, err)
		return
	}
	// One byte above the bound is enough to tell that the value is too large.
	value, err := io.ReadAll(io.LimitReader(request.Body, provider.MaxValueBytes+1))
	if err != nil {
		fail(writer, err)
		return
	}
	var revision uint64
	var lost bool
	receiver.do(func(platform *provider.Platform) {
		revision, err = platform.Swap(query.Get("key"), expected, value, id)
		lost = err == nil && platform.IsAnswerLost()
	})
	if lost {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		fail(writer, err)
		return
	}
	body, err := encoder.EncodeRevision(revision)
	reply(writer, body, err)
}

func (receiver *Receiver) watch(writer http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseUint(request.FormValue("after"), 10, 64)
	if err != nil {
		fail(writer, err)
		return
	}
	wait, err := time.ParseDuration(request.FormValue("wait"))
	if err != nil {
		fail(writer, err)
		return
	}
	listing, err := receiver.await(request, request.FormValue("prefix"), after, min(wait, maxWatchTerm))
	if err != nil {
		fail(writer, err)
		return
	}
	body, err := encoder.EncodeListing(listing)
	reply(writer, body, err)
}

// await returns the newer entries, or an empty listing once the term of the watch has passed.
func (receiver *Receiver) await(request *http.Request, prefix string, after uint64, wait time.Duration) (lagoonlanding.Listing, error) {
	term := time.After(wait)
	for {
		var listing lagoonlanding.Listing
		var changed <-chan struct{}
		var switches provider.Switches
		receiver.do(func(platform *provider.Platform) {
			listing, changed, switches = platform.Newer(prefix, after), platform.Changed(), platform.Switches()
		})
		if switches.IsDown() {
			return listing, lagoonlanding.ErrUnavailable
		}
		hold(request.Context(), switches)
		if len(listing.Entries()) > 0 {
			return listing, nil
		}
		select {
		case <-changed:
		case <-term:
			return listing, nil
		case <-request.Context().Done():
			return listing, request.Context().Err()
		}
	}
}
