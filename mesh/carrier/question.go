package carrier

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"lagoonlanding.example/lagoonlanding"
)

// maxQuestion bounds questions and answers in bytes: the store's values may be a megabyte each.
const maxQuestion = 32 << 20

// headerFault names the error that a daemon has in place of an answer.
const headerFault = "Lagoonlanding-Fault"

// faults are the errors by their names; faultUnknown stands for all others, which leave open what became of the call.
var faults = map[string]error{
	"not-found":    lagoonlanding.ErrNotFound,
	"conflict":     lagoonlanding.ErrConflict,
	"compacted":    lagoonlanding.ErrCompacted,
	"lease-ended":  lagoonlanding.ErrLeaseEnded,
	"unavailable":  lagoonlanding.ErrUnavailable,
	"out-of-touch": lagoonlanding.ErrStoreDisconnected,
	faultUnknown:   lagoonlanding.ErrUnknown,
}

const faultUnknown = "unknown"

// ask puts a question to a daemon and returns its answer, or the error that it tells.
func ask[Q, A any](ctx context.Context, peer peer, path string, question Q) (A, error) {
	var answer A
	encoded, err := json.Marshal(question)
	if err != nil {
		return answer, fmt.Errorf("encode question: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.address+path, bytes.NewReader(encoded))
	if err != nil {
		return answer, fmt.Errorf("ask daemon: %w", err)
	}
	response, err := peer.pool.Exchange(ctx, peer.address, request)
	if errors.Is(err, lagoonlanding.ErrNotSent) {
		return answer, fmt.Errorf("%w: %w", lagoonlanding.ErrUnavailable, err)
	}
	if err != nil {
		return answer, fmt.Errorf("%w: %w", lagoonlanding.ErrUnknown, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxQuestion))
	if err != nil {
		return answer, fmt.Errorf("%w: %w", lagoonlanding.ErrUnknown, err)
	}
	if fault, ok := faults[response.Header.Get(headerFault)]; ok {
		return answer, fault
	}
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("%w: daemon answers %d", lagoonlanding.ErrUnavailable, response.StatusCode)
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return answer, fmt.Errorf("%w: %w", lagoonlanding.ErrUnknown, err)
	}
	return answer, nil
}

// questionOf reads the question of another daemon; it is false if that was told to be none.
func questionOf[Q any](writer http.ResponseWriter, request *http.Request) (Q, bool) {
	var question Q
	if err := json.NewDecoder(io.LimitReader(request.Body, maxQuestion)).Decode(&question); err != nil {
		http.Error(writer, "not a question", http.StatusBadRequest)
		return question, false
	}
	return question, true
}

// reply answers a question, or tells the error.
func (server *Server) reply(writer http.ResponseWriter, answer any, err error) {
	if err != nil {
		writer.Header().Set(headerFault, faultOf(err))
		return
	}
	if err := json.NewEncoder(writer).Encode(answer); err != nil {
		server.config.Log.WithError(err).Debug("Asking daemon has gone.")
	}
}

// faultOf returns the name of an error.
func faultOf(err error) string {
	for name, fault := range faults {
		if errors.Is(err, fault) {
			return name
		}
	}
	return faultUnknown
}
