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
	// defaultDeadline holds for services that name no longest deadline.
	defaultDeadline = 30 * time.Second
	// maxIdempotencyKey bounds the characters of an idempotency key.
	maxIdempotencyKey = 256
)

// intake turns one HTTP request into a routed request, or into the reason for refusing it.
type intake struct {
	receiver *Receiver
	snapshot *router.Snapshot
	message  *http.Request
	now      time.Time
	config   lagoonlanding.RequestConfig
	// homes are the addresses for a caller who is outside the home regions.
	homes []lagoonlanding.Instance
}

// read returns why the request is refused before it is dispatched; the body is read only where that is permitted.
func (intake *intake) read(writer http.ResponseWriter) lagoonlanding.Reason {
	set := intake.snapshot.Set()
	if set == nil {
		return lagoonlanding.ReasonNotReady
	}
	match, reason := intake.receiver.table(set).Match(intake.message.Method, intake.message.URL.EscapedPath())
	if reason != lagoonlanding.ReasonNone {
		return reason
	}
	if reason := intake.readTenant(set, match); reason != lagoonlanding.ReasonNone {
		return reason
	}
	if reason := intake.readTerms(set, match.Route()); reason != lagoonlanding.ReasonNone {
		return reason
	}
	intake.config.Method = intake.message.Method
	intake.config.Path = pathOf(intake.message)
	intake.config.Headers = passedHeaders(intake.message.Header)
	intake.config.SetVersion = set.Version()
	return intake.readBody(writer)
}

// pathOf returns the path and query as the caller wrote them.
func pathOf(message *http.Request) string {
	path := message.URL.EscapedPath()
	if message.URL.RawQuery != "" || message.URL.ForceQuery {
		path += "?" + message.URL.RawQuery
	}
	return path
}

func (intake *intake) readTenant(set *publisher.Set, match router.Match) lagoonlanding.Reason {
	tenant, ok := set.Tenant(intake.message.Header.Get(headerTenant))
	if !ok {
		return lagoonlanding.ReasonUnknownTenant
	}
	intake.config.Tenant = tenant.Name()
	intake.config.Class = match.Route().Class()
	intake.config.Key = lagoonlanding.NewKey(match.Route().Service(), tenant.Workspace(), match.Key())
	workspace, ok := set.Workspace(tenant.Workspace())
	if !ok {
		return lagoonlanding.ReasonUnknownTenant
	}
	if !workspace.Permits(intake.snapshot.Self().Region()) {
		intake.homes = intake.snapshot.Homes(workspace)
		return lagoonlanding.ReasonOutsideRegion
	}
	return lagoonlanding.ReasonNone
}

// readTerms reads the deadline and what a non-idempotent request needs.
func (intake *intake) readTerms(set *publisher.Set, route publisher.Route) lagoonlanding.Reason {
	longest := defaultDeadline
	if service, ok := set.Service(route.Service()); ok && service.LongestDeadline() > 0 {
		longest = service.LongestDeadline()
	}
	left, ok := parseDeadline(intake.message.Header.Get(headerDeadline), longest)
	if !ok {
		return lagoonlanding.ReasonMalformed
	}
	intake.config.Deadline = intake.now.Add(left)
	intake.config.Idempotent = route.IsIdempotent() || isIdempotentMethod(intake.message.Method)
	key := intake.message.Header.Get(headerIdempotencyKey)
	if !isIdempotencyKey(key) {
		return lagoonlanding.ReasonMalformed
	}
	intake.config.IdempotencyKey = key
	if text := intake.message.Header.Get(headerTicket); text != "" {
		ticket, err := parseTicket(text)
		if err != nil {
			return lagoonlanding.ReasonMalformed
		}
		intake.config.Ticket = ticket
	}
	if intake.config.Idempotent {
		return lagoonlanding.ReasonNone
	}
	if key == "" {
		return lagoonlanding.ReasonKeyMissing
	}
	if intake.config.Ticket.IsZero() {
		return lagoonlanding.ReasonTicketMissing
	}
	return lagoonlanding.ReasonNone
}

// parseDeadline returns the time that a caller waits, at most the longest that the service allows.
func parseDeadline(text string, longest time.Duration) (time.Duration, bool) {
	if text == "" {
		return longest, true
	}
	millis, err := strconv.ParseUint(text, 10, 32)
	if err != nil || millis == 0 {
		return 0, false
	}
	return min(time.Duration(millis)*time.Millisecond, longest), true
}

func isIdempotentMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// isIdempotencyKey accepts printable ASCII without spaces, or no key.
func isIdempotencyKey(key string) bool {
	if len(key) > maxIdempotencyKey {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

func (intake *intake) readBody(writer http.ResponseWriter) lagoonlanding.Reason {
	limit := intake.receiver.config.BodyLimit
	if intake.message.ContentLength > limit {
		return lagoonlanding.ReasonTooLarge
	}
	if intake.message.ContentLength == 0 {
		return lagoonlanding.ReasonNone
	}
	body, err := readAll(http.MaxBytesReader(writer, intake.message.Body, limit), intake.message.ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return lagoonlanding.ReasonTooLarge
	}
	if err != nil {
		return lagoonlanding.ReasonMalformed
	}
	intake.config.Body = body
	return lagoonlanding.ReasonNone
}

// readAll reads a body whose length is known in one piece.
func readAll(reader io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(reader)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(reader, body)
	return body, err
}
