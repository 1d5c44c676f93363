package receiver

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

var errTicket = errors.New("a ticket is a revision and milliseconds since 1970, separated by a hyphen")

func formatTicket(ticket lagoonlanding.Ticket) string {
	return fmt.Sprintf("%d-%d", ticket.Revision(), ticket.Issued().UnixMilli())
}

func parseTicket(text string) (lagoonlanding.Ticket, error) {
	first, second, ok := strings.Cut(text, "-")
	if !ok {
		return lagoonlanding.Ticket{}, errTicket
	}
	revision, err := strconv.ParseUint(first, 10, 64)
	if err != nil || revision == 0 {
		return lagoonlanding.Ticket{}, errTicket
	}
	millis, err := strconv.ParseUint(second, 10, 62)
	if err != nil {
		return lagoonlanding.Ticket{}, errTicket
	}
	return lagoonlanding.NewTicket(revision, time.UnixMilli(int64(millis))), nil
}
