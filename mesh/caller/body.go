package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
)

// body ends the use of a connection once it is read or closed.
type body struct {
	io.ReadCloser
	once sync.Once
	done func(isWhole bool)
}

func newBody(response *http.Response, done func(isWhole bool)) io.ReadCloser {
	made := &body{ReadCloser: response.Body, done: done}
	if response.Body == http.NoBody || response.ContentLength == 0 {
		made.finish(true)
	}
	return made
}

// Read notes the end of the body.
func (body *body) Read(data []byte) (int, error) {
	count, err := body.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		body.finish(true)
	} else if err != nil {
		body.finish(false)
	}
	return count, err
}

// Close ends the use of the connection; bytes that were not read make it useless.
func (body *body) Close() error {
	body.finish(false)
	return nil
}

func (body *body) finish(isWhole bool) {
	body.once.Do(func() { body.done(isWhole) })
}

// Hold reads up to limit bytes of a body ahead; length is that of a body that came to its end unharmed, -1 of a longer one.
func Hold(stream io.ReadCloser, limit int64) (held io.ReadCloser, length int64, err error) {
	var ahead bytes.Buffer
	_, err = io.CopyN(&ahead, stream, limit)
	switch {
	case errors.Is(err, io.EOF):
		stream.Close()
		return io.NopCloser(&ahead), int64(ahead.Len()), nil
	case err != nil:
		stream.Close()
		return nil, -1, err
	}
	return &joined{Reader: io.MultiReader(&ahead, stream), closer: stream}, -1, nil
}

// joined reads what was held and then the rest of the stream.
type joined struct {
	io.Reader
	closer io.Closer
}

// Close closes the stream.
func (joined *joined) Close() error { return joined.closer.Close() }
