package connector

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
)

// body reports once it has been read to the end or closed, so that the connection can be reused or closed.
type body struct {
	io.ReadCloser
	once sync.Once
	done func(isComplete bool)
}

func newBody(response *http.Response, done func(isComplete bool)) io.ReadCloser {
	tracked := &body{ReadCloser: response.Body, done: done}
	if response.Body == http.NoBody || response.ContentLength == 0 {
		tracked.finish(true)
	}
	return tracked
}

// Read reads from the body and detects its end.
func (body *body) Read(data []byte) (int, error) {
	count, err := body.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		body.finish(true)
	} else if err != nil {
		body.finish(false)
	}
	return count, err
}

// Close ends the use of the connection, which cannot be reused if the body was not read to its end.
func (body *body) Close() error {
	body.finish(false)
	return nil
}

func (body *body) finish(isComplete bool) {
	body.once.Do(func() { body.done(isComplete) })
}

// Prefetch reads up to limit bytes of a body in advance; length is that of a body that ended within the limit, or -1 for a longer one.
func Prefetch(stream io.ReadCloser, limit int64) (result io.ReadCloser, length int64, err error) {
	var prefetched bytes.Buffer
	_, err = io.CopyN(&prefetched, stream, limit)
	switch {
	case errors.Is(err, io.EOF):
		stream.Close()
		return io.NopCloser(&prefetched), int64(prefetched.Len()), nil
	case err != nil:
		stream.Close()
		return nil, -1, err
	}
	return &prefetchedBody{Reader: io.MultiReader(&prefetched, stream), closer: stream}, -1, nil
}

// prefetchedBody reads the prefetched bytes and then the rest of the stream.
type prefetchedBody struct {
	io.Reader
	closer io.Closer
}

// Close closes the stream.
func (prefetchedbody *prefetchedBody) Close() error { return prefetchedbody.closer.Close() }
