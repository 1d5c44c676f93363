package receiver

import (
	"net/http"

	"lagoonlanding.example/lagoonlanding"
)

// statusOf returns the HTTP status of a reply.
func statusOf(reply lagoonlanding.Reply) int {
	switch reply.Outcome() {
	case lagoonlanding.OutcomeAnswered:
		return reply.Status()
	case lagoonlanding.OutcomeUnknown:
		return http.StatusGatewayTimeout
	}
	return refusalStatus(reply.Reason())
}

func refusalStatus(reason lagoonlanding.Reason) int {
	switch reason {
	case lagoonlanding.ReasonNoRoute:
		return http.StatusNotFound
	case lagoonlanding.ReasonMalformed:
		return http.StatusBadRequest
	case lagoonlanding.ReasonUnknownTenant:
		return http.StatusForbidden
	case lagoonlanding.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case lagoonlanding.ReasonOutsideRegion:
		return http.StatusMisdirectedRequest
	case lagoonlanding.ReasonKeyMissing, lagoonlanding.ReasonTicketMissing, lagoonlanding.ReasonTicketExpired:
		return http.StatusPreconditionRequired
	case lagoonlanding.ReasonKeyReused:
		return http.StatusConflict
	case lagoonlanding.ReasonTenantLimit, lagoonlanding.ReasonQueueFull, lagoonlanding.ReasonLedgerFull:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}
