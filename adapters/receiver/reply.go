package receiver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// errorBody is the JSON body of a reply without an answer from the backend server.
type errorBody struct {
	Outcome   string   `json:"outcome"`
	Reason    string   `json:"reason"`
	RequestID string   `json:"request-id"`
	Addresses []string `json:"addresses,omitempty"`
}

func (receiver *Receiver) writeReply(writer http.ResponseWriter, reply lagoonlanding.Reply, homeInstances []lagoonlanding.Instance) {
	fields := writer.Header()
	for _, header := range reply.Headers() {
		fields.Add(header.Name(), header.Value())
	}
	receiver.setDaemonHeaders(fields, reply)
	if reply.Outcome() != lagoonlanding.OutcomeAnswered {
		writeError(writer, reply, homeInstances)
		return
	}
	if len(reply.Body()) > 0 {
		fields.Set("Content-Length", strconv.Itoa(len(reply.Body())))
	}
	writer.WriteHeader(statusOf(reply))
	_, _ = writer.Write(reply.Body())
}

// setDaemonHeaders sets the header fields between daemon and caller.
func (receiver *Receiver) setDaemonHeaders(fields http.Header, reply lagoonlanding.Reply) {
	setHeader := func(name, value string) {
		if value != "" {
			fields[name] = []string{value}
		}
	}
	setHeader(headerOutcome, reply.Outcome().String())
	setHeader(headerReason, string(reply.Reason()))
	setHeader(headerRequestID, reply.RequestID())
	setHeader(headerOwner, reply.Owner().ID().Name())
	setHeader(headerOwnerAddress, reply.Owner().CallerAddress())
	if ticket := receiver.ticket(); !ticket.IsZero() {
		setHeader(headerTicket, formatTicket(ticket))
	}
	if reply.IsRepeated() {
		setHeader(headerRepeated, "true")
	}
	if !reply.RetryAfter().IsZero() {
		setHeader("Retry-After", retryAfter(reply.RetryAfter().Sub(receiver.config.Clock.Now())))
	}
}

// retryAfter returns the Retry-After value: whole seconds, rounded up.
func retryAfter(remaining time.Duration) string {
	seconds := max((remaining+time.Second-1)/time.Second, 0)
	return strconv.FormatInt(int64(seconds), 10)
}

func writeError(writer http.ResponseWriter, reply lagoonlanding.Reply, homeInstances []lagoonlanding.Instance) {
	body := errorBody{Outcome: reply.Outcome().String(), Reason: string(reply.Reason()), RequestID: reply.RequestID()}
	for _, instance := range homeInstances {
		body.Addresses = append(body.Addresses, instance.CallerAddress())
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
