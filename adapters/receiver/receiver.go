package receiver

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// Config holds what a Receiver works with.
type Config struct {
	// Snapshots gives the newest snapshot of the control state.
	Snapshots lagoonlanding.Source[*router.Snapshot]
	// Handler takes requests to their owners.
	Handler lagoonlanding.RequestHandler
	// Clock tells the time.
	Clock lagoonlanding.Clock
	// Meter counts the replies.
	Meter lagoonlanding.Meter
	// BodyLimit bounds a request's body in bytes.
	BodyLimit int64
}

// Receiver answers callers over HTTP; it is safe for use by many goroutines.
type Receiver struct {
	config Config
	// prefix makes the IDs of this run's requests differ from those of all others.
	prefix  string
	counter atomic.Uint64
	routes  atomic.Pointer[routes]
}

// routes are the table of one published set.
type routes struct {
	set   *publisher.Set
	table *router.Table
}

var _ http.Handler = (*Receiver)(nil)

// New returns a receiver that has taken no request yet.
func New(config Config) *Receiver {
	self := config.Snapshots.Current().Self().ID()
	prefix := self.Name() + "-" + strconv.FormatUint(self.Incarnation(), 36) + "-"
	return &Receiver{config: config, prefix: prefix}
}

const (
	ownPrefix  = "/.lagoonlanding/"
	pathTicket = ownPrefix + "ticket"
	pathReady  = ownPrefix + "ready"
	pathLive   = ownPrefix + "live"
)

// ServeHTTP answers one caller.
func (receiver *Receiver) ServeHTTP(writer http.ResponseWriter, message *http.Request) {
	if strings.HasPrefix(message.URL.Path, ownPrefix) {
		receiver.serveOwn(writer, message)
		return
	}
	started := receiver.config.Clock.Now()
	intake := &intake{
		receiver: receiver, snapshot: receiver.config.Snapshots.Current(), message: message, now: started,
		config: lagoonlanding.RequestConfig{ID: receiver.nextID()},
	}
	reason := intake.read(writer)
	request := lagoonlanding.NewRequest(intake.config)
	var reply lagoonlanding.Reply
	if reason != lagoonlanding.ReasonNone {
		reply = lagoonlanding.Refuse(request, reason).WithOwner(intake.snapshot.Self())
	} else {
		reply = receiver.dispatch(message.Context(), request)
	}
	receiver.writeReply(writer, reply, intake.homes)
	receiver.config.Meter.Finished(request, reply, receiver.config.Clock.Now().Sub(started))
}

// dispatch ends the request's context at its deadline.
func (receiver *Receiver) dispatch(ctx context.Context, request lagoonlanding.Request) lagoonlanding.Reply {
	ctx, cancel := context.WithTimeout(ctx, request.Deadline().Sub(receiver.config.Clock.Now()))
	defer cancel()
	return receiver.config.Handler.Dispatch(ctx, request)
}

func (receiver *Receiver) nextID() string {
	return receiver.prefix + strconv.FormatUint(receiver.counter.Add(1), 36)
}

// table returns the routes of the set, which change only with the set.
func (receiver *Receiver) table(set *publisher.Set) *router.Table {
	if known := receiver.routes.Load(); known != nil && known.set == set {
		return known.table
	}
	fresh := &routes{set: set, table: router.NewTable(set)}
	receiver.routes.Store(fresh)
	return fresh.table
}

// ticket returns a ticket of now, the zero ticket if the store has not been read yet.
func (receiver *Receiver) ticket() lagoonlanding.Ticket {
	return lagoonlanding.NewTicket(receiver.config.Snapshots.Current().Revision(), wallTime(receiver.config.Clock.Now()))
}

// wallTime strips the monotonic reading.
func wallTime(now time.Time) time.Time { return now.Round(0) }
