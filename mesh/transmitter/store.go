package transmitter

import (
	"context"
	"errors"
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
	callCommit    = "commit"
	callGrant     = "grant"
	callKeepAlive = "keep"
)

// storeRequest is a store call to be executed by another daemon.
type storeRequest struct {
	Call string `json:"call"`
	// Key is the key to read.
	Key string `json:"key,omitempty"`
	// Puts are the entries to write, and Preconditions what the write depends on.
	Puts          []storePut          `json:"puts,omitempty"`
	Preconditions []storePrecondition `json:"preconditions,omitempty"`
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

// storePrecondition is a revision that an entry must have, zero for a key that must not exist.
type storePrecondition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision,omitempty"`
}

// storeEntry is one entry as the store holds it.
type storeEntry struct {
	Key      string `json:"key,omitempty"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
}

// storeResponse is the result of a store call.
type storeResponse struct {
	storeEntry
	Lease lagoonlanding.LeaseID `json:"lease,omitempty"`
	// IsConflict means that a precondition did not hold, and Current lists the entries that the store holds instead.
	IsConflict bool         `json:"conflict,omitempty"`
	Current    []storeEntry `json:"current,omitempty"`
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

// Commit carries out a transaction.
func (peerstore *peerStore) Commit(ctx context.Context, transaction lagoonlanding.Transaction) (uint64, error) {
	query := storeRequest{Call: callCommit}
	for _, put := range transaction.Puts() {
		query.Puts = append(query.Puts, storePut{Key: put.Key(), Value: put.Value(), Lease: put.Lease()})
	}
	for _, precondition := range transaction.Preconditions() {
		query.Preconditions = append(query.Preconditions, storePrecondition{Key: precondition.Key(), Revision: precondition.Revision()})
	}
	response, err := peerstore.call(ctx, query)
	if err == nil && response.IsConflict {
		return 0, response.conflict()
	}
	return response.Revision, err
}

// conflict returns the error of a transaction that was not carried out.
func (storeresponse storeResponse) conflict() error {
	var current []lagoonlanding.Entry
	for _, entry := range storeresponse.Current {
		current = append(current, lagoonlanding.NewEntry(entry.Key, entry.Value, entry.Revision))
	}
	return lagoonlanding.NewConflictError(current)
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
	switch query.Call {
	case callGet:
		var entry lagoonlanding.Entry
		entry, err = store.Get(ctx, query.Key)
		response.Key, response.Value, response.Revision = entry.Key(), entry.Value(), entry.Revision()
	case callCommit:
		return commit(ctx, store, query)
	case callGrant:
		response.Lease, err = store.Grant(ctx, time.Duration(query.TermMS)*time.Millisecond)
	case callKeepAlive:
		err = store.KeepAlive(ctx, query.Lease)
	default:
		err = fmt.Errorf("%w: unknown call %q", lagoonlanding.ErrUnavailable, query.Call)
	}
	return response, err
}

// commit carries out a transaction for another daemon; a conflict is a response with the current entries, on which that daemon builds its next
// write.
func commit(ctx context.Context, store lagoonlanding.LeaseStore, query storeRequest) (storeResponse, error) {
	var config lagoonlanding.TransactionConfig
	for _, put := range query.Puts {
		config.Puts = append(config.Puts, lagoonlanding.NewPut(put.Key, put.Value, put.Lease))
	}
	for _, precondition := range query.Preconditions {
		config.Preconditions = append(config.Preconditions, lagoonlanding.NewPrecondition(precondition.Key, precondition.Revision))
	}
	var response storeResponse
	var err error
	response.Revision, err = store.Commit(ctx, lagoonlanding.NewTransaction(config))
	var conflict *lagoonlanding.ConflictError
	if !errors.As(err, &conflict) {
		return response, err
	}
	response.IsConflict = true
	for _, entry := range conflict.Entries() {
		response.Current = append(response.Current, storeEntry{Key: entry.Key(), Value: entry.Value(), Revision: entry.Revision()})
	}
	return response, nil
}
