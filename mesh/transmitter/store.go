package transmitter

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// storePath is the URL path at which a daemon executes store calls for other daemons.
const storePath = "/lagoonlanding/store"

// The store calls that a daemon executes for another.
const (
	callGet       = "get"
	callPut       = "put"
	callPutIf     = "put-if"
	callGrant     = "grant"
	callKeepAlive = "keep"
)

// storeRequest is a store call to be executed by another daemon.
type storeRequest struct {
	Call string `json:"call"`
	// Key is the key to read.
	Key string `json:"key,omitempty"`
	// Puts are the entries to write; a conditional put has exactly one.
	Puts []storePut `json:"puts,omitempty"`
	// Expected is the revision that the entry of a conditional put must have, and Absent lists keys that must not exist.
	Expected uint64   `json:"expected,omitempty"`
	Absent   []string `json:"absent,omitempty"`
	// Lease is the lease to renew, and TermMS the duration of a lease to grant.
	Lease  lagoonlanding.LeaseID `json:"lease,omitempty"`
	TermMS int64                 `json:"term-ms,omitempty"`
}

// storePut is one entry to write.
type storePut struct {
	Key   string                `json:"key"`
	Value []byte                `json:"value"`
	Lease lagoonlanding.LeaseID `json:"lease,omitempty"`
}

// storeResponse is the result of a store call.
type storeResponse struct {
	Key      string                `json:"key,omitempty"`
	Value    []byte                `json:"value,omitempty"`
	Revision uint64                `json:"revision,omitempty"`
	Lease    lagoonlanding.LeaseID `json:"lease,omitempty"`
}

// peerStore calls the store through one daemon.
type peerStore struct {
	peer
}

var _ lagoonlanding.LeaseStore = (*peerStore)(nil)

func (peerstore *peerStore) call(ctx context.Context, query storeRequest) (storeResponse, error) {
	return call[storeRequest, storeResponse](ctx, peerstore.peer, storePath, query)
}

// Get reads one entry.
func (peerstore *peerStore) Get(ctx context.Context, key string) (lagoonlanding.Entry, error) {
	response, err := peerstore.call(ctx, storeRequest{Call: callGet, Key: key})
	return lagoonlanding.NewEntry(response.Key, response.Value, response.Revision), err
}

// Put writes entries atomically.
func (peerstore *peerStore) Put(ctx context.Context, puts ...lagoonlanding.Put) (uint64, error) {
	response, err := peerstore.call(ctx, storeRequest{Call: callPut, Puts: encodePuts(puts)})
	return response.Revision, err
}

// PutIf writes an entry if it has the expected revision and none of the absent keys exists.
func (peerstore *peerStore) PutIf(ctx context.Context, put lagoonlanding.Put, expected uint64, absent ...string) (uint64, error) {
	response, err := peerstore.call(ctx, storeRequest{
		Call: callPutIf, Puts: encodePuts([]lagoonlanding.Put{put}), Expected: expected, Absent: absent,
	})
	return response.Revision, err
}

// Grant creates a lease.
func (peerstore *peerStore) Grant(ctx context.Context, term time.Duration) (lagoonlanding.LeaseID, error) {
	response, err := peerstore.call(ctx, storeRequest{Call: callGrant, TermMS: term.Milliseconds()})
	return response.Lease, err
}

// KeepAlive renews a lease.
func (peerstore *peerStore) KeepAlive(ctx context.Context, lease lagoonlanding.LeaseID) error {
	_, err := peerstore.call(ctx, storeRequest{Call: callKeepAlive, Lease: lease})
	return err
}

func encodePuts(puts []lagoonlanding.Put) []storePut {
	var encoded []storePut
	for _, put := range puts {
		encoded = append(encoded, storePut{Key: put.Key(), Value: put.Value(), Lease: put.Lease()})
	}
	return encoded
}

// serveStore executes a store call for another daemon.
func (server *Server) serveStore(writer http.ResponseWriter, request *http.Request) {
	query, ok := decodeRequest[storeRequest](writer, request)
	if !ok {
		return
	}
	response, err := execute(request.Context(), server.config.Store, query)
	server.respond(writer, response, err)
}

func execute(ctx context.Context, store lagoonlanding.LeaseStore, query storeRequest) (response storeResponse, err error) {
	var puts []lagoonlanding.Put
	for _, put := range query.Puts {
		puts = append(puts, lagoonlanding.NewPut(put.Key, put.Value, put.Lease))
	}
	switch {
	case query.Call == callGet:
		var entry lagoonlanding.Entry
		entry, err = store.Get(ctx, query.Key)
		response.Key, response.Value, response.Revision = entry.Key(), entry.Value(), entry.Revision()
	case query.Call == callPut:
		response.Revision, err = store.Put(ctx, puts...)
	case query.Call == callPutIf && len(puts) == 1:
		response.Revision, err = store.PutIf(ctx, puts[0], query.Expected, query.Absent...)
	case query.Call == callGrant:
		response.Lease, err = store.Grant(ctx, time.Duration(query.TermMS)*time.Millisecond)
	case query.Call == callKeepAlive:
		err = store.KeepAlive(ctx, query.Lease)
	default:
		err = fmt.Errorf("%w: unknown call %q", lagoonlanding.ErrUnavailable, query.Call)
	}
	return response, err
}
