package storer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"lagoonlanding.example/lagoonlanding"
)

// maxResponseBytes limits a response of the store; it leaves room for a listing of several hundred entries of typical size.
const maxResponseBytes = 64 << 20

// call is one HTTP request to the store.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
}

// call sends the request and returns the response body.
func (client *Client) call(ctx context.Context, call call) ([]byte, error) {
	// A request that never got a connection was not sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, call.method, client.config.URL+call.path+"?"+call.query.Encode(), bytes.NewReader(call.body))
	if err != nil {
		return nil, fmt.Errorf("build request %s %s: %w", call.method, call.path, err)
	}
	response, err := client.config.Client.Do(request)
	if err != nil {
		return nil, callError(call, connected.Load(), err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, callError(call, true, err)
	}
	return body, statusError(call, response.StatusCode)
}

// callError returns an error that wraps ErrUnknown if a write may have taken effect, else ErrUnavailable.
func callError(call call, sent bool, err error) error {
	kind := lagoonlanding.ErrUnavailable
	if sent && call.method == http.MethodPut {
		kind = lagoonlanding.ErrUnknown
	}
	return fmt.Errorf("store request %s %s: %w: %w", call.method, call.path, kind, err)
}

// statusError returns the error for the HTTP status, nil for 200.
func statusError(call call, status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return lagoonlanding.ErrNotFound
	case http.StatusConflict:
		return lagoonlanding.ErrConflict
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return lagoonlanding.ErrUnavailable
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return fmt.Errorf("store request %s %s: rejected with HTTP status %d", call.method, call.path, status)
	}
	return callError(call, true, fmt.Errorf("HTTP status %d", status))
}
