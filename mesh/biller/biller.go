package biller

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"lagoonlanding.example/lagoonlanding"
)

// The causes of bytes between regions.
const (
	// CauseHead bytes are heads of requests and answers, with what the connections add.
	CauseHead = "head"
	// CauseBody bytes are bodies of answers, and of the requests that were answered.
	CauseBody = "body"
	// CauseRetry bytes are bodies of tries without an answer, which a further try may send again.
	CauseRetry = "retry"
	// CauseControl bytes are relayed changes, and calls to the store through other daemons.
	CauseControl = "control"
)

// Config holds the dependencies of a Biller.
type Config struct {
	// Region is the region of the daemon.
	Region string
	// Sender sends the tasks.
	Sender lagoonlanding.TaskSender
	// Crossed is called with a cause and a number of bytes.
	Crossed func(cause string, bytes int64)
}

// Biller sends tasks and counts their bytes if they cross regions; it is safe for concurrent use.
type Biller struct {
	config Config
	// total counts the bytes of all exchanges, and bodies those counted as bodies.
	total, bodies atomic.Int64

	mutex sync.Mutex
	// heads is the number of bytes reported as heads so far.
	heads int64
}

var _ lagoonlanding.TaskSender = (*Biller)(nil)

// New returns a biller without counts.
func New(config Config) *Biller { return &Biller{config: config} }

// Send sends the task to the daemon beside the backend server.
func (biller *Biller) Send(ctx context.Context, backend lagoonlanding.Backend, task lagoonlanding.Task) lagoonlanding.Result {
	if backend.Region() == biller.config.Region {
		return biller.config.Sender.Send(ctx, backend, task)
	}
	sent := &countingReader{reader: task.Body()}
	if task.Body() != nil {
		task = task.With(func(config *lagoonlanding.TaskConfig) { config.Body = sent })
	}
	result := biller.config.Sender.Send(ctx, backend, task)
	if result.Outcome() != lagoonlanding.OutcomeAnswered || result.Answer().Body() == nil {
		biller.countBody(CauseRetry, sent.count.Load())
		return result
	}
	received := result.Answer().Body()
	body := &countingBody{countingReader: countingReader{reader: received}, closer: received, biller: biller, sent: sent}
	return result.With(func(config *lagoonlanding.ResultConfig) { config.Answer = config.Answer.WithBody(body) })
}

// countBody counts the bytes of a body.
func (biller *Biller) countBody(cause string, bytes int64) {
	if bytes > 0 {
		biller.bodies.Add(bytes)
		biller.config.Crossed(cause, bytes)
	}
}

// Ended counts all bytes of an exchange of a task with a daemon in another region.
func (biller *Biller) Ended(bytes int) { biller.total.Add(int64(bytes)) }

// Flush reports the bytes of ended exchanges that were not bodies.
func (biller *Biller) Flush() {
	biller.mutex.Lock()
	defer biller.mutex.Unlock()
	// The bodies of exchanges that have not ended yet may already be counted; their heads follow with a later flush.
	if heads := biller.total.Load() - biller.bodies.Load(); heads > biller.heads {
		biller.config.Crossed(CauseHead, heads-biller.heads)
		biller.heads = heads
	}
}

// countingReader counts the bytes that are read.
type countingReader struct {
	reader io.Reader
	count  atomic.Int64
}

// Read reads from the underlying reader.
func (countingreader *countingReader) Read(buffer []byte) (int, error) {
	count, err := countingreader.reader.Read(buffer)
	countingreader.count.Add(int64(count))
	return count, err
}

// countingBody is the body of an answer; its bytes and those of the request's body are counted when it is closed.
type countingBody struct {
	countingReader
	closer io.Closer
	biller *Biller
	sent   *countingReader
	once   sync.Once
}

// Close closes the underlying body.
func (countingbody *countingBody) Close() error {
	err := countingbody.closer.Close()
	countingbody.once.Do(func() {
		countingbody.biller.countBody(CauseBody, countingbody.count.Load()+countingbody.sent.count.Load())
	})
	return err
}
