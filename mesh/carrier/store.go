package carrier

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// storePath is the path at which a daemon carries calls of others out at the store.
const storePath = "/lagoonlanding/store"

// The calls that a daemon carries out for another.
const (
	callGet   = "get"
	callPut   = "put"
	callPutIf = "put-if"
	callGrant = "grant"
	callKeep  = "keep"
)

// storeQuestion is a call to the store that another daemon is to carry out.
type storeQuestion struct {
	Call string `json:"call"`
	// Key is the entry that is read.
	Key string `json:"key,omitempty"`
	// Puts are written; a conditional call has one.
	Puts []storePut `json:"puts,omitempty"`
	// Expected is the revision that the entry of a conditional call must have, and Absent are keys that must have no entry.
	Expected uint64   `json:"expected,omitempty"`
	Absent   []string `json:"absent,omitempty"`
	// Lease is the lease that is kept, and TermMS how long one that begins lasts.
	Lease  lagoonlanding.LeaseID `json:"lease,omitempty"`
	TermMS int64                 `json:"term-ms,omitempty"`
}

// storePut is one write.
type storePut struct {
	Key   string                `json:"key"`
	Value []byte                `json:"value"`
	Lease lagoonlanding.LeaseID `json:"lease,omitempty"`
}

// storeAnswer is what the store said to the daemon that carried the call out.
type storeAnswer struct {
	Key      string                `json:"key,omitempty"`
	Value    []byte                `json:"value,omitempty"`
	Revision uint64                `json:"revision,omitempty"`
	Lease    lagoonlanding.LeaseID `json:"lease,omitempty"`
}

// peerStore asks one daemon to carry calls out.
type peerStore struct {
	peer
}

var _ lagoonlanding.LeaseStore = (*peerStore)(nil)

func (peerstore *peerStore) ask(ctx context.Context, question storeQuestion) (storeAnswer, error) {
	return ask[storeQuestion, storeAnswer](ctx, peerstore.peer, storePath, question)
}

// Get reads one entry.
func (peerstore *peerStore) Get(ctx context.Context, key string) (lagoonlanding.Entry, error) {
	answer, err := peerstore.ask(ctx, storeQuestion{Call: callGet, Key: key})
	return lagoonlanding.NewEntry(answer.Key, answer.Value, answer.Revision), err
}

// Put writes entries together.
func (peerstore *peerStore) Put(ctx context.Context, puts ...lagoonlanding.Put) (uint64, error) {
	answer, err := peerstore.ask(ctx, storeQuestion{Call: callPut, Puts: storePuts(puts)})
	return answer.Revision, err
}

// PutIf writes an entry under conditions.
func (peerstore *peerStore) PutIf(ctx context.Context, put lagoonlanding.Put, expected uint64, absent ...string) (uint64, error) {
	answer, err := peerstore.ask(ctx, storeQuestion{
		Call: callPutIf, Puts: storePuts([]lagoonlanding.Put{put}), Expected: expected, Absent: absent,
	})
	return answer.Revision, err
}

// Grant begins a lease.
func (peerstore *peerStore) Grant(ctx context.Context, term time.Duration) (lagoonlanding.LeaseID, error) {
	answer, err := peerstore.ask(ctx, storeQuestion{Call: callGrant, TermMS: term.Milliseconds()})
	return answer.Lease, err
}

// KeepAlive renews a lease.
func (peerstore *peerStore) KeepAlive(ctx context.Context, lease lagoonlanding.LeaseID) error {
	_, err := peerstore.ask(ctx, storeQuestion{Call: callKeep, Lease: lease})
	return err
}

func storePuts(puts []lagoonlanding.Put) []storePut {
	var made []storePut
	for _, put := range puts {
		made = append(made, storePut{Key: put.Key(), Value: put.Value(), Lease: put.Lease()})
	}
	return made
}

// store carries a call of another daemon out.
func (server *Server) store(writer http.ResponseWriter, request *http.Request) {
	question, ok := questionOf[storeQuestion](writer, request)
	if !ok {
		return
	}
	answer, err := carryOut(request.Context(), server.config.Store, question)
	server.reply(writer, answer, err)
}

func carryOut(ctx context.Context, store lagoonlanding.LeaseStore, question storeQuestion) (answer storeAnswer, err error) {
	var puts []lagoonlanding.Put
	for _, put := range question.Puts {
		puts = append(puts, lagoonlanding.NewPut(put.Key, put.Value, put.Lease))
	}
	switch {
	case question.Call == callGet:
		var entry lagoonlanding.Entry
		entry, err = store.Get(ctx, question.Key)
		answer.Key, answer.Value, answer.Revision = entry.Key(), entry.Value(), entry.Revision()
	case question.Call == callPut:
		answer.Revision, err = store.Put(ctx, puts...)
	case question.Call == callPutIf && len(puts) == 1:
		answer.Revision, err = store.PutIf(ctx, puts[0], question.Expected, question.Absent...)
	case question.Call == callGrant:
		answer.Lease, err = store.Grant(ctx, time.Duration(question.TermMS)*time.Millisecond)
	case question.Call == callKeep:
		err = store.KeepAlive(ctx, question.Lease)
	default:
		err = fmt.Errorf("%w: no call %q", lagoonlanding.ErrUnavailable, question.Call)
	}
	return answer, err
}
