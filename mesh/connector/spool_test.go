package connector

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/budgeter"
)

// stream is a body of a number of bytes whose reader may notice its end late.
type stream struct {
	remaining int
	failure   error
	closed    chan struct{}
}

func newStream(size int, failure error) *stream {
	return &stream{remaining: size, failure: failure, closed: make(chan struct{}, 10)}
}

func (stream *stream) Read(data []byte) (int, error) {
	if stream.remaining == 0 {
		return 0, stream.failure
	}
	count := min(len(data), stream.remaining, 1500)
	for index := range data[:count] {
		data[index] = byte(stream.remaining - index)
	}
	stream.remaining -= count
	return count, nil
}

func (stream *stream) Close() error {
	stream.closed <- struct{}{}
	return nil
}

// received is what Receive returned for a stream, with the budget and the ends of the client's connection.
type received struct {
	body   io.ReadCloser
	length int64
	err    error
	budget *budgeter.Budget
	causes chan budgeter.Cause
}

// receiveStream receives a stream with a budget of which some bytes are held by others.
func receiveStream(limit, others int64, source *stream) received {
	result := received{budget: budgeter.New(budgeter.Config{Limit: limit}), causes: make(chan budgeter.Cause, 1)}
	connection, _ := result.budget.Open(func(cause budgeter.Cause) { result.causes <- cause })
	result.budget.Count(budgeter.Connections, others)
	ctx := budgeter.NewContext(context.Background(), connection.OpenRequest())
	result.body, result.length, result.err = Receive(ctx, source, 64<<10)
	return result
}

// TestSpoolReadsAhead guards against a sender that waits for a slow reader, and against bytes that are lost or remain counted.
func TestSpoolReadsAhead(t *testing.T) {
	for _, size := range []int{0, 1, 4 << 10, 64<<10 - 1, 64 << 10, 1 << 20} {
		result := receiveStream(60<<20, 0, newStream(size, io.EOF))
		if want := int64(size); result.err != nil || size < 64<<10 && result.length != want || size > 64<<10 && result.length != -1 {
			t.Fatalf("%d bytes: got length %d, %v", size, result.length, result.err)
		}
		ended := make(chan struct{})
		result.body.(lagoonlanding.ReceivedBody).OnReceived(func() { close(ended) })
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatalf("%d bytes: the sender waits for the reader", size)
		}
		data, err := io.ReadAll(result.body)
		if err != nil || len(data) != size {
			t.Fatalf("got %d of %d bytes, %v", len(data), size, err)
		}
		for index, octet := range data {
			if octet != byte(size-index) {
				t.Fatalf("byte %d of %d is wrong", index, size)
			}
		}
		result.body.Close()
		if held := result.budget.Usage().Held[budgeter.Answers]; held != 0 {
			t.Errorf("%d bytes: %d are still counted", size, held)
		}
	}
}

// TestUnheldAnswerIsGivenUp guards against an answer that occupies a server while its client does not read, and against its part looking complete.
func TestUnheldAnswerIsGivenUp(t *testing.T) {
	source := newStream(10<<20, io.EOF)
	result := receiveStream(4<<20, 3<<20, source)
	select {
	case cause := <-result.causes:
		if cause != budgeter.SlowReader {
			t.Errorf("got cause %v", cause)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the client was not ended")
	}
	<-source.closed
	if _, err := io.ReadAll(result.body); !errors.Is(err, ErrNotHeld) {
		t.Errorf("reading ended with %v", err)
	}
}

// TestReaderIsServedWithoutMemory guards against a client that reads being ended because others hold everything.
func TestReaderIsServedWithoutMemory(t *testing.T) {
	result := receiveStream(4<<20, 3<<20, newStream(1<<20, io.EOF))
	if data, err := io.ReadAll(result.body); err != nil || len(data) != 1<<20 {
		t.Errorf("got %d bytes, %v", len(data), err)
	}
}

// TestBrokenAnswerStaysBroken guards against an answer that broke off and looks complete, before and after the length that is read in advance.
func TestBrokenAnswerStaysBroken(t *testing.T) {
	for _, size := range []int{10 << 10, 200 << 10} {
		result := receiveStream(60<<20, 0, newStream(size, io.ErrUnexpectedEOF))
		err := result.err
		if err == nil {
			_, err = io.ReadAll(result.body)
		}
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%d bytes: reading ended with %v", size, err)
		}
	}
}

// TestClosedSpoolInterruptsTheSender guards against a goroutine that goes on receiving for a client that has gone.
func TestClosedSpoolInterruptsTheSender(t *testing.T) {
	source := newStream(1<<30, io.EOF)
	result := receiveStream(60<<20, 0, source)
	result.body.Close()
	<-source.closed
	if _, err := result.body.Read(make([]byte, 1)); err == nil {
		t.Error("a closed body can be read")
	}
	if held := result.budget.Usage().Held[budgeter.Answers]; held > chunkBytes {
		t.Errorf("%d bytes are still counted", held)
	}
}
