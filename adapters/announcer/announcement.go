package announcer

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
)

const (
	// maxAnnouncementBytes limits the JSON of an announcement.
	maxAnnouncementBytes = 4 << 10
	// maxSlots is the most slots that a backend server may announce.
	maxSlots = 1 << 16
)

// Announcement is the message with which a backend server registers its service, address and capacity.
type Announcement struct {
	service string
	address string
	slots   int
	start   string
}

// Service returns the name of the service that the backend server runs.
func (announcement Announcement) Service() string { return announcement.service }

// Address returns the host and port of the backend server.
func (announcement Announcement) Address() string { return announcement.address }

// Slots returns how many requests the backend server runs concurrently.
func (announcement Announcement) Slots() int { return announcement.slots }

// Start identifies the process of the backend server and changes when it restarts; it is empty if not announced.
func (announcement Announcement) Start() string { return announcement.start }

type announcementJSON struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	Start   string `json:"start"`
}

// decode decodes and validates an announcement.
func decode(reader io.Reader) (Announcement, error) {
	decoder := json.NewDecoder(io.LimitReader(reader, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	var decoded announcementJSON
	if err := decoder.Decode(&decoded); err != nil {
		return Announcement{}, fmt.Errorf("decode the announcement: %w", err)
	}
	if decoded.Service == "" {
		return Announcement{}, errors.New("service is missing")
	}
	host, port, err := net.SplitHostPort(decoded.Address)
	if err != nil || net.ParseIP(host) == nil {
		return Announcement{}, fmt.Errorf("address %q is not an IP address and a port", decoded.Address)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return Announcement{}, fmt.Errorf("port of address %q is out of range", decoded.Address)
	}
	if decoded.Slots < 1 || decoded.Slots > maxSlots {
		return Announcement{}, fmt.Errorf("slots %d is out of range 1 to %d", decoded.Slots, maxSlots)
	}
	return Announcement{service: decoded.Service, address: decoded.Address, slots: decoded.Slots, start: decoded.Start}, nil
}
