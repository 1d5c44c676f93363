package receiver

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

var errTicketFormat = errors.New("ticket must be a store revision and Unix milliseconds separated by a hyphen")

func formatTicket(ticket lagoonlanding.Ticket) string {
	return fmt.Sprintf("%d-%d", ticket.Revision(), ticket.Issued().UnixMilli())
}

func parseTicket(text string) (lagoonlanding.Ticket, error) {
	revisionText, issuedText, ok := strings.Cut(text, "-")
	if !ok {
		return lagoonlanding.Ticket{}, errTicketFormat
	}
	revision, err := strconv.ParseUint(revisionText, 10, 64)
	if err != nil || revision == 0 {
		return lagoonlanding.Ticket{}, errTicketFormat
	}
	millis, err := strconv.ParseUint(issuedText, 10, 62)
	if err != nil {
		return lagoonlanding.Ticket{}, errTicketFormat
	}
	return lagoonlanding.NewTicket(revision, time.UnixMilli(int64(millis))), nil
}
