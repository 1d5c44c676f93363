package forwarder

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
)

// maxBufferedBody is the length in bytes up to which request bodies are buffered for retries.
const maxBufferedBody = 64 << 10

// rewindableBody buffers a body up to a limit, so that it can be read again.
type rewindableBody struct {
	mutex    sync.Mutex
	source   io.Reader
	buffered []byte
	offset   int
	tooLong  bool
	atEOF    bool
}

// NewRewindable returns a body that can be rewound unless it is too long.
func NewRewindable(source io.Reader) io.Reader { return &rewindableBody{source: source} }

// Read reads the buffered bytes, and then the rest of the source.
func (rewindablebody *rewindableBody) Read(data []byte) (int, error) {
	rewindablebody.mutex.Lock()
	defer rewindablebody.mutex.Unlock()
	if rewindablebody.offset < len(rewindablebody.buffered) {
		count := copy(data, rewindablebody.buffered[rewindablebody.offset:])
		rewindablebody.offset += count
		return count, nil
	}
	if rewindablebody.atEOF {
		return 0, io.EOF
	}
	count, err := rewindablebody.source.Read(data)
	if rewindablebody.tooLong || len(rewindablebody.buffered)+count > maxBufferedBody {
		rewindablebody.tooLong, rewindablebody.buffered, rewindablebody.offset = true, nil, 0
	} else {
		rewindablebody.buffered = append(rewindablebody.buffered, data[:count]...)
		rewindablebody.offset = len(rewindablebody.buffered)
	}
	rewindablebody.atEOF = errors.Is(err, io.EOF)
	return count, err
}

// Rewind seeks to the start of the body; it returns false if the body was too long to buffer.
func (rewindablebody *rewindableBody) Rewind() bool {
	rewindablebody.mutex.Lock()
	defer rewindablebody.mutex.Unlock()
	rewindablebody.offset = 0
	return !rewindablebody.tooLong
}

// cancelOnClose cancels the context of a request once the body of its answer is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func newCancelOnClose(body io.ReadCloser, cancel context.CancelFunc) io.ReadCloser {
	return &cancelOnClose{ReadCloser: body, cancel: cancel}
}

// Close closes the body and cancels the context.
func (cancelonclose *cancelOnClose) Close() error {
	defer cancelonclose.cancel()
	return cancelonclose.ReadCloser.Close()
}

func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
