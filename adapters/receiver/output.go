package receiver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// refusal is the body of a reply without an answer.
type refusal struct {
	Outcome   string   `json:"outcome"`
	Reason    string   `json:"reason"`
	RequestID string   `json:"request-id"`
	Addresses []string `json:"addresses,omitempty"`
}

func (receiver *Receiver) writeReply(writer http.ResponseWriter, reply lagoonlanding.Reply, homes []lagoonlanding.Instance) {
	fields := writer.Header()
	for _, header := range reply.Headers() {
		fields.Add(header.Name(), header.Value())
	}
	receiver.describe(fields, reply)
	if reply.Outcome() != lagoonlanding.OutcomeAnswered {
		writeRefusal(writer, reply, homes)
		return
	}
	if len(reply.Body()) > 0 {
		fields.Set("Content-Length", strconv.Itoa(len(reply.Body())))
	}
	writer.WriteHeader(statusOf(reply))
	_, _ = writer.Write(reply.Body())
}

// describe sets the router's own fields.
func (receiver *Receiver) describe(fields http.Header, reply lagoonlanding.Reply) {
	set := func(name, value string) {
		if value != "" {
			fields[name] = []string{value}
		}
	}
	set(headerOutcome, reply.Outcome().String())
	set(headerReason, string(reply.Reason()))
	set(headerRequestID, reply.RequestID())
	set(headerOwner, reply.Owner().ID().Name())
	set(headerOwnerAddress, reply.Owner().CallerAddress())
	if ticket := receiver.ticket(); !ticket.IsZero() {
		set(headerTicket, formatTicket(ticket))
	}
	if reply.IsRepeated() {
		set(headerRepeated, "true")
	}
	if !reply.RetryAfter().IsZero() {
		set("Retry-After", retryAfter(reply.RetryAfter().Sub(receiver.config.Clock.Now())))
	}
}

// retryAfter returns whole seconds, rounded up.
func retryAfter(left time.Duration) string {
	seconds := max((left+time.Second-1)/time.Second, 0)
	return strconv.FormatInt(int64(seconds), 10)
}

func writeRefusal(writer http.ResponseWriter, reply lagoonlanding.Reply, homes []lagoonlanding.Instance) {
	body := refusal{Outcome: reply.Outcome().String(), Reason: string(reply.Reason()), RequestID: reply.RequestID()}
	for _, home := range homes {
		body.Addresses = append(body.Addresses, home.CallerAddress())
	}
	if len(body.Addresses) > 0 {
		writer.Header()[headerOwnerAddress] = []string{strings.Join(body.Addresses, ", ")}
	}
	writeJSON(writer, statusOf(reply), body)
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}
