package transmitter

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

// maxMessageBytes limits requests and responses: each value of the store may have a megabyte.
const maxMessageBytes = 32 << 20

// headerError contains the name of the error that a daemon returns instead of a response.
const headerError = "Lagoonlanding-Fault"

// errorsByName are the errors that have a name; errorUnknown stands for all others, after which the outcome of the call is unknown.
var errorsByName = map[string]error{
	"not-found":    lagoonlanding.ErrNotFound,
	"conflict":     lagoonlanding.ErrConflict,
	"compacted":    lagoonlanding.ErrCompacted,
	"lease-ended":  lagoonlanding.ErrLeaseEnded,
	"unavailable":  lagoonlanding.ErrUnavailable,
	"out-of-touch": lagoonlanding.ErrStoreDisconnected,
	errorUnknown:   lagoonlanding.ErrUnknown,
}

const errorUnknown = "unknown"

// call sends a request to a daemon and returns its response or its error.
func call[Request, Response any](ctx context.Context, peer peer, path string, payload Request) (Response, error) {
	var result Response
	encoded, err := json.Marshal(payload)
	if err != nil {
		return result, fmt.Errorf("encode request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.address+path, bytes.NewReader(encoded))
	if err != nil {
		return result, fmt.Errorf("create request: %w", err)
	}
	response, err := peer.pool.Exchange(ctx, peer.address, request)
	if errors.Is(err, lagoonlanding.ErrNotSent) {
		return result, fmt.Errorf("%w: %w", lagoonlanding.ErrUnavailable, err)
	}
	if err != nil {
		return result, fmt.Errorf("%w: %w", lagoonlanding.ErrUnknown, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	if err != nil {
		return result, fmt.Errorf("%w: %w", lagoonlanding.ErrUnknown, err)
	}
	if known, ok := errorsByName[response.Header.Get(headerError)]; ok {
		return result, known
	}
	if response.StatusCode != http.StatusOK {
		return result, fmt.Errorf("%w: daemon responded with status %d", lagoonlanding.ErrUnavailable, response.StatusCode)
	}
	if err := json.Unmarshal(text, &result); err != nil {
		return result, fmt.Errorf("%w: %w", lagoonlanding.ErrUnknown, err)
	}
	return result, nil
}

// decodeRequest reads the request of another daemon; if it is malformed, it responds with an error and returns false.
func decodeRequest[Request any](writer http.ResponseWriter, request *http.Request) (Request, bool) {
	var payload Request
	if err := json.NewDecoder(io.LimitReader(request.Body, maxMessageBytes)).Decode(&payload); err != nil {
		http.Error(writer, "malformed request", http.StatusBadRequest)
		return payload, false
	}
	return payload, true
}

// respond writes a response, or the name of the error.
func (server *Server) respond(writer http.ResponseWriter, result any, err error) {
	if err != nil {
		writer.Header().Set(headerError, errorName(err))
		return
	}
	if err := json.NewEncoder(writer).Encode(result); err != nil {
		server.config.Log.WithError(err).Debug("Cannot write the response to a daemon.")
	}
}

// errorName returns the name of an error.
func errorName(err error) string {
	for name, known := range errorsByName {
		if errors.Is(err, known) {
			return name
		}
	}
	return errorUnknown
}
