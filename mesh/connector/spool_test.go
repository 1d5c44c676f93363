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

func receiveStream(t *testing.T, limit int64, source *stream) (io.ReadCloser, int64, *budgeter.Budget, *budgeter.Account, chan budgeter.Cause) {
	t.Helper()
	causes := make(chan budgeter.Cause, 1)
	budget := budgeter.New(budgeter.Config{Limit: limit})
	connection, _ := budget.Open(func(cause budgeter.Cause) { causes <- cause })
	account := connection.OpenRequest()
	body, length, err := Receive(budgeter.NewContext(context.Background(), account), source, 64<<10)
	if err != nil {
		t.Fatal(err)
	}
	return body, length, budget, account, causes
}

// TestSpoolReadsAhead guards against a sender that waits for a slow reader, and against bytes that are lost or remain counted.
func TestSpoolReadsAhead(t *testing.T) {
	for _, size := range []int{0, 1, 4 << 10, 64<<10 - 1, 64 << 10, 1 << 20} {
		source := newStream(size, io.EOF)
		body, length, budget, account, _ := receiveStream(t, 60<<20, source)
		if want := int64(size); size < 64<<10 && length != want || size > 64<<10 && length != -1 {
			t.Errorf("%d bytes: got length %d", size, length)
		}
		received := make(chan struct{})
		body.(lagoonlanding.ReceivedBody).OnReceived(func() { close(received) })
		select {
		case <-received:
		case <-time.After(5 * time.Second):
			t.Fatalf("%d bytes: the sender waits for the reader", size)
		}
		data, err := io.ReadAll(body)
		if err != nil || len(data) != size {
			t.Fatalf("got %d of %d bytes, %v", len(data), size, err)
		}
		for index, octet := range data {
			if octet != byte(size-index) {
				t.Fatalf("byte %d of %d is wrong", index, size)
			}
		}
		body.Close()
		if held := budget.Usage().Held[budgeter.Answers]; held != 0 {
			t.Errorf("%d bytes: %d are still counted", size, held)
		}
		account.Close()
	}
}

// TestUnheldAnswerIsGivenUp guards against an answer that occupies a server while its client does not read, and against its part looking complete.
func TestUnheldAnswerIsGivenUp(t *testing.T) {
	source := newStream(10<<20, io.EOF)
	body, _, budget, _, causes := receiveStream(t, 4<<20, source)
	budget.Count(budgeter.Connections, 3<<20)
	select {
	case cause := <-causes:
		if cause != budgeter.SlowReader {
			t.Errorf("got cause %v", cause)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the client was not ended")
	}
	<-source.closed
	if _, err := io.ReadAll(body); !errors.Is(err, ErrNotHeld) {
		t.Errorf("reading ended with %v", err)
	}
}

// TestReaderIsServedWithoutMemory guards against a client that reads being ended because others hold everything.
func TestReaderIsServedWithoutMemory(t *testing.T) {
	source := newStream(1<<20, io.EOF)
	causes := make(chan budgeter.Cause, 1)
	budget := budgeter.New(budgeter.Config{Limit: 4 << 20})
	connection, _ := budget.Open(func(cause budgeter.Cause) { causes <- cause })
	budget.Count(budgeter.Connections, 3<<20)
	body, _, err := Receive(budgeter.NewContext(context.Background(), connection.OpenRequest()), source, 64<<10)
	if err != nil {
		t.Fatal(err)
	}
	if data, err := io.ReadAll(body); err != nil || len(data) != 1<<20 {
		t.Errorf("got %d bytes, %v", len(data), err)
	}
}

// TestBrokenAnswerStaysBroken guards against an answer that broke off and looks complete, before and after the length that is read in advance.
func TestBrokenAnswerStaysBroken(t *testing.T) {
	for _, size := range []int{10 << 10, 200 << 10} {
		source := newStream(size, io.ErrUnexpectedEOF)
		budget := budgeter.New(budgeter.Config{Limit: 60 << 20})
		connection, _ := budget.Open(func(budgeter.Cause) {})
		body, _, err := Receive(budgeter.NewContext(context.Background(), connection.OpenRequest()), source, 64<<10)
		if err == nil {
			_, err = io.ReadAll(body)
		}
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%d bytes: reading ended with %v", size, err)
		}
	}
}

// TestClosedSpoolInterruptsTheSender guards against a goroutine that goes on receiving for a client that has gone.
func TestClosedSpoolInterruptsTheSender(t *testing.T) {
	source := newStream(1<<30, io.EOF)
	body, _, budget, _, _ := receiveStream(t, 60<<20, source)
	body.Close()
	<-source.closed
	if _, err := body.Read(make([]byte, 1)); err == nil {
		t.Error("a closed body can be read")
	}
	if held := budget.Usage().Held[budgeter.Answers]; held > chunkBytes {
		t.Errorf("%d bytes are still counted", held)
	}
}
