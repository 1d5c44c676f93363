package connector

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/budgeter"
)

const (
	// firstChunkBytes and chunkBytes are the sizes of the buffers for an answer: most answers fit into the first.
	firstChunkBytes, chunkBytes = 4 << 10, 16 << 10
	// roomInterval is the interval at which a receiver that is out of room looks for some that others have released; its own reader wakes it at once.
	roomInterval = 250 * time.Millisecond
)

// ErrNotHeld means that an answer was given up, because its reader is slow and no more of it can be held in memory.
var ErrNotHeld = errors.New("the answer can't be held in memory")

// Receive reads up to limit bytes of a body in advance, like Prefetch, and counts them for the request of ctx. Where memory is limited, it goes on to
// read the rest ahead of the reader as far as the memory budget permits, so that the sender does not wait for a slow reader.
func Receive(ctx context.Context, stream io.ReadCloser, limit int64) (result io.ReadCloser, length int64, err error) {
	account := budgeter.FromContext(ctx)
	if !account.Budget().IsLimited() {
		result, length, err = Prefetch(stream, limit)
		if length > 0 {
			account.Charge(budgeter.Answers, int(length))
		} else if err == nil && length < 0 {
			account.Charge(budgeter.Answers, int(limit))
		}
		return result, length, err
	}
	spool := &spool{stream: stream, account: account, arrived: make(chan struct{}, 1), consumed: make(chan struct{}, 1)}
	account.Charge(budgeter.Answers, firstChunkBytes)
	spool.chunks = []chunk{{data: make([]byte, firstChunkBytes)}}
	received := int64(0)
	for received < limit && spool.tailRoom() {
		count, err := spool.receive()
		received += int64(count)
		if errors.Is(err, io.EOF) {
			spool.finish(io.EOF)
			return spool, received, nil
		}
		if err != nil {
			spool.Close()
			return nil, -1, err
		}
	}
	go spool.run()
	return spool, -1, nil
}

// chunk is a buffer of which the first used bytes have been received and the first read bytes have been read.
type chunk struct {
	data       []byte
	used, read int
}

// spool holds the part of a body that has been received and not yet been read. One goroutine receives and another one reads.
type spool struct {
	stream  io.ReadCloser
	account *budgeter.Account
	// arrived wakes the reader, and consumed the receiver.
	arrived, consumed chan struct{}

	mutex  sync.Mutex
	chunks []chunk
	// err is the end of the body.
	err    error
	closed bool
	// onReceived are called once the body has been received.
	onReceived []func()
}

var _ lagoonlanding.ReceivedBody = (*spool)(nil)

// tailRoom makes sure that the last chunk has room; it returns false if no more bytes may be held.
func (spool *spool) tailRoom() bool {
	spool.mutex.Lock()
	defer spool.mutex.Unlock()
	if spool.closed {
		return false
	}
	last := &spool.chunks[len(spool.chunks)-1]
	switch {
	case last.used < len(last.data):
		return true
	case last.read == last.used:
		// Everything has been read, so that the only chunk can be used again, even when no more can be held.
		last.used, last.read = 0, 0
		return true
	case !spool.account.Reserve(budgeter.Answers, chunkBytes):
		return false
	}
	spool.chunks = append(spool.chunks, chunk{data: make([]byte, chunkBytes)})
	return true
}

// receive reads into the last chunk, which must have room.
func (spool *spool) receive() (int, error) {
	spool.mutex.Lock()
	if spool.closed {
		spool.mutex.Unlock()
		return 0, io.ErrClosedPipe
	}
	last := &spool.chunks[len(spool.chunks)-1]
	// The reader does not touch the bytes beyond those that are used.
	room := last.data[last.used:]
	spool.mutex.Unlock()
	count, err := spool.stream.Read(room)
	spool.mutex.Lock()
	if !spool.closed {
		spool.chunks[len(spool.chunks)-1].used += count
	}
	spool.mutex.Unlock()
	signal(spool.arrived)
	return count, err
}

// run receives the rest of the body.
func (spool *spool) run() {
	for spool.awaitRoom() {
		if _, err := spool.receive(); err != nil {
			spool.finish(err)
			return
		}
	}
}

// awaitRoom waits until more can be received; it returns false if the body is not to be received any more.
func (spool *spool) awaitRoom() bool {
	since := time.Now()
	for !spool.tailRoom() {
		if spool.isClosed() {
			return false
		}
		if !time.Now().Before(spool.account.Budget().HoldDeadline(since)) {
			spool.finish(ErrNotHeld)
			spool.account.EndUnread()
			return false
		}
		timer := time.NewTimer(roomInterval)
		select {
		case <-spool.consumed:
		case <-timer.C:
		}
		timer.Stop()
	}
	return true
}

func (spool *spool) isClosed() bool {
	spool.mutex.Lock()
	defer spool.mutex.Unlock()
	return spool.closed
}

// finish records the end of the body, and frees what the sender holds for it.
func (spool *spool) finish(err error) {
	spool.stream.Close()
	spool.mutex.Lock()
	spool.err = err
	calls := spool.onReceived
	spool.onReceived = nil
	spool.mutex.Unlock()
	signal(spool.arrived)
	for _, call := range calls {
		call()
	}
}

// OnReceived calls the function once the body has been received to its end or given up, at once if it has been.
func (spool *spool) OnReceived(call func()) {
	spool.mutex.Lock()
	isReceived := spool.err != nil
	if !isReceived {
		spool.onReceived = append(spool.onReceived, call)
	}
	spool.mutex.Unlock()
	if isReceived {
		call()
	}
}

// Read reads what has been received, and waits for more. A body that was given up fails at once, also where more could be read.
func (spool *spool) Read(data []byte) (int, error) {
	for {
		count, err := spool.take(data)
		if count > 0 || err != nil || len(data) == 0 {
			return count, err
		}
		<-spool.arrived
	}
}

// take returns received bytes, none if the reader has to wait.
func (spool *spool) take(data []byte) (int, error) {
	spool.mutex.Lock()
	defer spool.mutex.Unlock()
	if spool.closed || errors.Is(spool.err, ErrNotHeld) {
		return 0, errors.Join(spool.err, io.ErrClosedPipe)
	}
	count := 0
	for count < len(data) && len(spool.chunks) > 0 {
		first := &spool.chunks[0]
		copied := copy(data[count:], first.data[first.read:first.used])
		first.read += copied
		count += copied
		if first.read < first.used || len(spool.chunks) == 1 {
			break
		}
		spool.account.Release(budgeter.Answers, len(first.data))
		spool.chunks = spool.chunks[1:]
	}
	if count > 0 {
		signal(spool.consumed)
		return count, nil
	}
	return 0, spool.err
}

// Close ends the use of the body, which interrupts the receiver.
func (spool *spool) Close() error {
	spool.mutex.Lock()
	wasClosed := spool.closed
	spool.closed = true
	if !wasClosed {
		for _, chunk := range spool.chunks {
			spool.account.Release(budgeter.Answers, len(chunk.data))
		}
		spool.chunks = nil
	}
	spool.mutex.Unlock()
	signal(spool.arrived)
	signal(spool.consumed)
	return spool.stream.Close()
}

// signal wakes the goroutine that waits for the channel, or that will wait next.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
