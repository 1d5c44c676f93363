package receiver

import (
	"net/http"
	"strings"

	"lagoonlanding.example/lagoonlanding"
)

// Header fields exchanged by callers and the daemon.
const (
	headerTenant         = "Lagoonlanding-Tenant"
	headerDeadline       = "Lagoonlanding-Deadline"
	headerIdempotencyKey = "Lagoonlanding-Idempotency-Key"
	headerTicket         = "Lagoonlanding-Ticket"
	headerOutcome        = "Lagoonlanding-Outcome"
	headerReason         = "Lagoonlanding-Reason"
	headerOwner          = "Lagoonlanding-Owner"
	headerOwnerAddress   = "Lagoonlanding-Owner-Address"
	headerRequestID      = "Lagoonlanding-Request-Id"
	headerRepeated       = "Lagoonlanding-Repeated"
	headerPrefix         = "Lagoonlanding-"
)

// forwardedHeaders returns the header fields for the backend server, without hop-by-hop fields and those between caller and daemon.
func forwardedHeaders(fields http.Header) []lagoonlanding.Header {
	var forwarded []lagoonlanding.Header
	listed := connectionHeaders(fields)
	for name, values := range fields {
		if strings.HasPrefix(name, headerPrefix) || isHopByHop(name) || listed[name] {
			continue
		}
		for _, value := range values {
			forwarded = append(forwarded, lagoonlanding.NewHeader(name, value))
		}
	}
	return forwarded
}

// connectionHeaders returns the names listed in the Connection header, which are hop-by-hop fields too.
func connectionHeaders(fields http.Header) map[string]bool {
	var listed map[string]bool
	for _, value := range fields["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if listed == nil {
				listed = make(map[string]bool)
			}
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}

func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect":
		return true
	}
	return false
}
