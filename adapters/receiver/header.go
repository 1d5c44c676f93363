package receiver

import (
	"net/http"
	"strings"

	"lagoonlanding.example/lagoonlanding"
)

// The header fields between callers and the daemon.
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

// passedHeaders returns the fields for the backend server: neither those of one connection nor those of the router.
func passedHeaders(fields http.Header) []lagoonlanding.Header {
	var passed []lagoonlanding.Header
	named := connectionFields(fields)
	for name, values := range fields {
		if strings.HasPrefix(name, headerPrefix) || isHopByHop(name) || named[name] {
			continue
		}
		for _, value := range values {
			passed = append(passed, lagoonlanding.NewHeader(name, value))
		}
	}
	return passed
}

// connectionFields returns the fields that the Connection field declares to hold for one connection only.
func connectionFields(fields http.Header) map[string]bool {
	var named map[string]bool
	for _, value := range fields["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect":
		return true
	}
	return false
}
