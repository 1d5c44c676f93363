package receiver

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

const (
	// defaultDeadline is the maximum deadline of services that configure none.
	defaultDeadline = 30 * time.Second
	// maxIdempotencyKeyBytes limits the length of an idempotency key.
	maxIdempotencyKeyBytes = 256
)

// requestParser converts one HTTP request to a lagoonlanding.Request, or finds the reason for refusing it.
type requestParser struct {
	receiver *Receiver
	snapshot *router.Snapshot
	message  *http.Request
	now      time.Time
	config   lagoonlanding.RequestConfig
	// homeInstances are instances in the home regions, set if this region is not one of them.
	homeInstances []lagoonlanding.Instance
}

// parse returns the reason for refusing the request, or ReasonNone; the body is read last, so that none is read outside the home regions.
func (requestparser *requestParser) parse(writer http.ResponseWriter) lagoonlanding.Reason {
	set := requestparser.snapshot.Set()
	if set == nil {
		return lagoonlanding.ReasonNotReady
	}
	match, reason := requestparser.receiver.table(set).Match(requestparser.message.Method, requestparser.message.URL.EscapedPath())
	if reason != lagoonlanding.ReasonNone {
		return reason
	}
	if reason := requestparser.parseTenant(set, match); reason != lagoonlanding.ReasonNone {
		return reason
	}
	if reason := requestparser.parseMetadata(set, match.Route()); reason != lagoonlanding.ReasonNone {
		return reason
	}
	requestparser.config.Method = requestparser.message.Method
	requestparser.config.Path = pathAndQuery(requestparser.message)
	requestparser.config.Headers = forwardedHeaders(requestparser.message.Header)
	requestparser.config.SetVersion = set.Version()
	return requestparser.readBody(writer)
}

// pathAndQuery returns the path and the query as sent by the caller, without decoding.
func pathAndQuery(message *http.Request) string {
	path := message.URL.EscapedPath()
	if message.URL.RawQuery != "" || message.URL.ForceQuery {
		path += "?" + message.URL.RawQuery
	}
	return path
}

func (requestparser *requestParser) parseTenant(set *publisher.Set, match router.Match) lagoonlanding.Reason {
	tenant, ok := set.Tenant(requestparser.message.Header.Get(headerTenant))
	if !ok {
		return lagoonlanding.ReasonUnknownTenant
	}
	requestparser.config.Tenant = tenant.Name()
	requestparser.config.Class = match.Route().Class()
	requestparser.config.Key = lagoonlanding.NewKey(match.Route().Service(), tenant.Workspace(), match.Key())
	workspace, ok := set.Workspace(tenant.Workspace())
	if !ok {
		return lagoonlanding.ReasonUnknownTenant
	}
	if !workspace.Permits(requestparser.snapshot.Self().Region()) {
		requestparser.homeInstances = requestparser.snapshot.HomeInstances(workspace)
		return lagoonlanding.ReasonOutsideRegion
	}
	return lagoonlanding.ReasonNone
}

// parseMetadata parses the deadline, the idempotency key and the ticket; a non-idempotent request needs the latter two.
func (requestparser *requestParser) parseMetadata(set *publisher.Set, route publisher.Route) lagoonlanding.Reason {
	maxDeadline := defaultDeadline
	if service, ok := set.Service(route.Service()); ok && service.LongestDeadline() > 0 {
		maxDeadline = service.LongestDeadline()
	}
	remaining, ok := parseDeadline(requestparser.message.Header.Get(headerDeadline), maxDeadline)
	if !ok {
		return lagoonlanding.ReasonMalformed
	}
	requestparser.config.Deadline = requestparser.now.Add(remaining)
	requestparser.config.Idempotent = route.IsIdempotent() || isIdempotentMethod(requestparser.message.Method)
	key := requestparser.message.Header.Get(headerIdempotencyKey)
	if !isIdempotencyKey(key) {
		return lagoonlanding.ReasonMalformed
	}
	requestparser.config.IdempotencyKey = key
	if text := requestparser.message.Header.Get(headerTicket); text != "" {
		ticket, err := parseTicket(text)
		if err != nil {
			return lagoonlanding.ReasonMalformed
		}
		requestparser.config.Ticket = ticket
	}
	if requestparser.config.Idempotent {
		return lagoonlanding.ReasonNone
	}
	if key == "" {
		return lagoonlanding.ReasonKeyMissing
	}
	if requestparser.config.Ticket.IsZero() {
		return lagoonlanding.ReasonTicketMissing
	}
	return lagoonlanding.ReasonNone
}

// parseDeadline parses the time until the caller's deadline, in milliseconds; it is limited to the service's maximum, which is also the default.
func parseDeadline(text string, maxDeadline time.Duration) (time.Duration, bool) {
	if text == "" {
		return maxDeadline, true
	}
	millis, err := strconv.ParseUint(text, 10, 32)
	if err != nil || millis == 0 {
		return 0, false
	}
	return min(time.Duration(millis)*time.Millisecond, maxDeadline), true
}

func isIdempotentMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// isIdempotencyKey reports whether the key is empty or consists of printable ASCII characters other than space.
func isIdempotencyKey(key string) bool {
	if len(key) > maxIdempotencyKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

func (requestparser *requestParser) readBody(writer http.ResponseWriter) lagoonlanding.Reason {
	limit := requestparser.receiver.config.BodyLimit
	if requestparser.message.ContentLength > limit {
		return lagoonlanding.ReasonTooLarge
	}
	if requestparser.message.ContentLength == 0 {
		return lagoonlanding.ReasonNone
	}
	body, err := readAll(http.MaxBytesReader(writer, requestparser.message.Body, limit), requestparser.message.ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return lagoonlanding.ReasonTooLarge
	}
	if err != nil {
		return lagoonlanding.ReasonMalformed
	}
	requestparser.config.Body = body
	return lagoonlanding.ReasonNone
}

// readAll reads the body; it allocates a single buffer if the length is known.
func readAll(reader io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(reader)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(reader, body)
	return body, err
}
