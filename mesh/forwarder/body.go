package forwarder

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/budgeter"
)

// maxBufferedBody is the length in bytes up to which request bodies are buffered for retries.
const maxBufferedBody = 64 << 10

// bufferedSource reads a body once and buffers it up to a limit, so that it can be read again.
type bufferedSource struct {
	mutex  sync.Mutex
	source io.Reader
	// memory counts the bytes that are buffered.
	memory   *budgeter.Account
	buffered []byte
	tooLong  bool
	atEOF    bool
	// current is the body that may read; a goroutine that still sends an earlier one must not take bytes from it.
	current *rewindableBody
}

// rewindableBody reads a buffered source from its start.
type rewindableBody struct {
	source *bufferedSource
	offset int
}

var _ lagoonlanding.Rewinder = (*rewindableBody)(nil)

// errRewound is returned to the reader of a body that is being read again from the start.
var errRewound = errors.New("the body is being read again")

// NewRewindable returns a body that can be rewound unless it is too long.
func NewRewindable(source io.Reader) io.Reader { return NewCounted(source, nil) }

// NewCounted returns a body that can be rewound unless it is too long or the account may not hold it.
func NewCounted(source io.Reader, memory *budgeter.Account) io.Reader {
	created := &rewindableBody{source: &bufferedSource{source: source, memory: memory}}
	created.source.current = created
	return created
}

// Read reads the buffered bytes, and then the rest of the source.
func (rewindablebody *rewindableBody) Read(data []byte) (int, error) {
	source := rewindablebody.source
	source.mutex.Lock()
	defer source.mutex.Unlock()
	if source.current != rewindablebody {
		return 0, errRewound
	}
	if rewindablebody.offset < len(source.buffered) {
		count := copy(data, source.buffered[rewindablebody.offset:])
		rewindablebody.offset += count
		return count, nil
	}
	if source.atEOF {
		return 0, io.EOF
	}
	count, err := source.source.Read(data)
	if source.keep(data[:count]) {
		rewindablebody.offset = len(source.buffered)
	} else {
		rewindablebody.offset = 0
	}
	source.atEOF = errors.Is(err, io.EOF)
	return count, err
}

// keep buffers bytes for a retry; it returns false if the body can't be rewound. The mutex must be locked.
func (bufferedsource *bufferedSource) keep(data []byte) bool {
	if bufferedsource.tooLong {
		return false
	}
	before := cap(bufferedsource.buffered)
	if needed := len(bufferedsource.buffered) + len(data); needed > before {
		grown := min(max(2*before, needed), maxBufferedBody)
		if needed > maxBufferedBody || !bufferedsource.memory.Reserve(budgeter.Requests, grown-before) {
			bufferedsource.memory.Release(budgeter.Requests, before)
			bufferedsource.tooLong, bufferedsource.buffered = true, nil
			return false
		}
		bufferedsource.buffered = append(make([]byte, 0, grown), bufferedsource.buffered...)
	}
	bufferedsource.buffered = append(bufferedsource.buffered, data...)
	return true
}

// Rewound returns the body from its start, after which this one can't be read any more; it returns false if the body was too long to buffer
// or is being read, since the client may never send the rest.
func (rewindablebody *rewindableBody) Rewound() (io.Reader, bool) {
	source := rewindablebody.source
	if !source.mutex.TryLock() {
		return nil, false
	}
	defer source.mutex.Unlock()
	if source.tooLong {
		return nil, false
	}
	source.current = &rewindableBody{source: source}
	return source.current, true
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
