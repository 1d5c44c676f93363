package connector

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// maxStrayResponses limits the responses to other requests that are skipped before the own one.
	maxStrayResponses = 4
	// maxStrayBody limits the body of a response that is skipped.
	maxStrayBody = 64 << 10
)

// readOwnResponse reads the response to the request, and skips those that belong to no request or to another one.
//
// A faulty backend server may send bytes behind a complete response after the next request has been sent. The response to that request follows them, and
// a request that must not be repeated would be lost without it. The connection is not used again.
func (pool *Pool) readOwnResponse(connection *connection, request *http.Request) (*http.Response, error) {
	response, err := connection.readResponse(request)
	if err != nil || pool.config.Matches == nil {
		return response, err
	}
	for range maxStrayResponses {
		if pool.config.Matches(request, response) {
			return response, nil
		}
		if err := skipBody(response); err != nil {
			return nil, fmt.Errorf("%w: %w", lagoonlanding.ErrMismatched, err)
		}
		next, err := connection.readResponse(request)
		if err != nil {
			return nil, fmt.Errorf("%w: no other response follows: %w", lagoonlanding.ErrMismatched, err)
		}
		response = next
		response.Close = true
	}
	return nil, fmt.Errorf("%w: more than %d responses to other requests", lagoonlanding.ErrMismatched, maxStrayResponses)
}

var errStrayBody = errors.New("the end of its body is not known")

// skipBody reads the body of a response that belongs to another request; it fails if nothing can follow it.
func skipBody(response *http.Response) error {
	isDelimited := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if !isDelimited || response.Close {
		return errStrayBody
	}
	skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBody))
	if err == nil && skipped == maxStrayBody {
		err = errStrayBody
	}
	return err
}
