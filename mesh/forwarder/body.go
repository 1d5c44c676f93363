package forwarder

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
)

// keptBody is how much of a request's body is kept for another try, in bytes.
const keptBody = 64 << 10

// replayable keeps the start of a body; a body that fits can be read again.
type replayable struct {
	mutex  sync.Mutex
	source io.Reader
	kept   []byte
	offset int
	lost   bool
	ended  bool
}

// NewReplayable returns a body that may be read again unless it is too long.
func NewReplayable(source io.Reader) io.Reader { return &replayable{source: source} }

// Read returns what was kept, and then the rest of the source.
func (replayable *replayable) Read(data []byte) (int, error) {
	replayable.mutex.Lock()
	defer replayable.mutex.Unlock()
	if replayable.offset < len(replayable.kept) {
		count := copy(data, replayable.kept[replayable.offset:])
		replayable.offset += count
		return count, nil
	}
	if replayable.ended {
		return 0, io.EOF
	}
	count, err := replayable.source.Read(data)
	if replayable.lost || len(replayable.kept)+count > keptBody {
		replayable.lost, replayable.kept, replayable.offset = true, nil, 0
	} else {
		replayable.kept = append(replayable.kept, data[:count]...)
		replayable.offset = len(replayable.kept)
	}
	replayable.ended = errors.Is(err, io.EOF)
	return count, err
}

// Rewind goes back to the start of the body.
func (replayable *replayable) Rewind() bool {
	replayable.mutex.Lock()
	defer replayable.mutex.Unlock()
	replayable.offset = 0
	return !replayable.lost
}

// cancelling ends the way of a request once its answer's body is closed.
type cancelling struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func newCancelling(body io.ReadCloser, cancel context.CancelFunc) io.ReadCloser {
	return &cancelling{ReadCloser: body, cancel: cancel}
}

// Close closes the body and ends the way.
func (cancelling *cancelling) Close() error {
	defer cancelling.cancel()
	return cancelling.ReadCloser.Close()
}

func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
