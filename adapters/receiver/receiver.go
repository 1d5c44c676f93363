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

// Config holds the dependencies and limits of a Receiver.
type Config struct {
	// Snapshots returns the latest snapshot of the control state.
	Snapshots lagoonlanding.Source[*router.Snapshot]
	// Handler dispatches requests to the owners of their keys.
	Handler lagoonlanding.RequestHandler
	// Clock returns the current time.
	Clock lagoonlanding.Clock
	// Meter records replies and their latency.
	Meter lagoonlanding.Meter
	// BodyLimit is the maximum size of a request body in bytes.
	BodyLimit int64
}

// Receiver is the HTTP handler for callers; it is safe for concurrent use.
type Receiver struct {
	config Config
	// idPrefix makes request IDs unique across daemons and incarnations.
	idPrefix     string
	requestCount atomic.Uint64
	cached       atomic.Pointer[cachedTable]
}

// cachedTable is the routing table built from a published set.
type cachedTable struct {
	set   *publisher.Set
	table *router.Table
}

var _ http.Handler = (*Receiver)(nil)

// New returns a Receiver with the given configuration.
func New(config Config) *Receiver {
	self := config.Snapshots.Current().Self().ID()
	idPrefix := self.Name() + "-" + strconv.FormatUint(self.Incarnation(), 36) + "-"
	return &Receiver{config: config, idPrefix: idPrefix}
}

const (
	endpointPrefix = "/.lagoonlanding/"
	pathTicket     = endpointPrefix + "ticket"
	pathReady      = endpointPrefix + "ready"
	pathLive       = endpointPrefix + "live"
)

// ServeHTTP serves the daemon's own endpoints and dispatches all other requests.
func (receiver *Receiver) ServeHTTP(writer http.ResponseWriter, message *http.Request) {
	if strings.HasPrefix(message.URL.Path, endpointPrefix) {
		receiver.serveEndpoint(writer, message)
		return
	}
	started := receiver.config.Clock.Now()
	requestparser := &requestParser{
		receiver: receiver, snapshot: receiver.config.Snapshots.Current(), message: message, now: started,
		config: lagoonlanding.RequestConfig{ID: receiver.nextID()},
	}
	reason := requestparser.parse(writer)
	request := lagoonlanding.NewRequest(requestparser.config)
	var reply lagoonlanding.Reply
	if reason != lagoonlanding.ReasonNone {
		reply = lagoonlanding.Refuse(request, reason).WithOwner(requestparser.snapshot.Self())
	} else {
		reply = receiver.dispatch(message.Context(), request)
	}
	receiver.writeReply(writer, reply, requestparser.homeInstances)
	receiver.config.Meter.Finished(request, reply, receiver.config.Clock.Now().Sub(started))
}

// dispatch dispatches the request with a context that ends at the request's deadline.
func (receiver *Receiver) dispatch(ctx context.Context, request lagoonlanding.Request) lagoonlanding.Reply {
	ctx, cancel := context.WithTimeout(ctx, request.Deadline().Sub(receiver.config.Clock.Now()))
	defer cancel()
	return receiver.config.Handler.Dispatch(ctx, request)
}

func (receiver *Receiver) nextID() string {
	return receiver.idPrefix + strconv.FormatUint(receiver.requestCount.Add(1), 36)
}

// table returns the routing table of the set; it is rebuilt only when the set changes.
func (receiver *Receiver) table(set *publisher.Set) *router.Table {
	if cachedtable := receiver.cached.Load(); cachedtable != nil && cachedtable.set == set {
		return cachedtable.table
	}
	rebuilt := &cachedTable{set: set, table: router.NewTable(set)}
	receiver.cached.Store(rebuilt)
	return rebuilt.table
}

// ticket returns a ticket issued now, or the zero ticket if the store has not been read yet.
func (receiver *Receiver) ticket() lagoonlanding.Ticket {
	return lagoonlanding.NewTicket(receiver.config.Snapshots.Current().Revision(), wallTime(receiver.config.Clock.Now()))
}

// wallTime strips the monotonic clock reading.
func wallTime(now time.Time) time.Time { return now.Round(0) }
