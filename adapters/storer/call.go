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

// maxAnswerBytes bounds an answer of the store: a listing of some hundred entries of the usual size.
const maxAnswerBytes = 64 << 20

// call is one request to the store.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
}

func (client *Client) call(ctx context.Context, call call) ([]byte, error) {
	// Without a connection no byte can have been sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, call.method, client.config.URL+call.path+"?"+call.query.Encode(), bytes.NewReader(call.body))
	if err != nil {
		return nil, fmt.Errorf("make the request %s %s: %w", call.method, call.path, err)
	}
	response, err := client.config.Client.Do(request)
	if err != nil {
		return nil, failure(call, connected.Load(), err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, failure(call, true, err)
	}
	return body, verdict(call, response.StatusCode)
}

// failure tells a write that may have taken effect from a call that changed nothing.
func failure(call call, sent bool, err error) error {
	kind := lagoonlanding.ErrUnavailable
	if sent && call.method == http.MethodPut {
		kind = lagoonlanding.ErrUnknown
	}
	return fmt.Errorf("%s %s of the store: %w: %w", call.method, call.path, kind, err)
}

func verdict(call call, status int) error {
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
		return fmt.Errorf("%s %s: the store refused the call with status %d", call.method, call.path, status)
	}
	return failure(call, true, fmt.Errorf("status %d", status))
}
