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
	// maxBytes bounds an announcement.
	maxBytes = 4 << 10
	// maxSlots bounds the slots of a backend server.
	maxSlots = 1 << 16
)

// Announcement is what a backend server tells of itself.
type Announcement struct {
	service string
	address string
	slots   int
	start   string
}

// Service returns the name of the service that the backend server runs.
func (announcement Announcement) Service() string { return announcement.service }

// Address returns its host and port.
func (announcement Announcement) Address() string { return announcement.address }

// Slots returns how many requests it runs at once.
func (announcement Announcement) Slots() int { return announcement.slots }

// Start tells runs of the backend server apart, empty if it does not tell.
func (announcement Announcement) Start() string { return announcement.start }

type announcementJSON struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	Start   string `json:"start"`
}

// decode reads and checks an announcement.
func decode(reader io.Reader) (Announcement, error) {
	decoder := json.NewDecoder(io.LimitReader(reader, maxBytes))
	decoder.DisallowUnknownFields()
	var form announcementJSON
	if err := decoder.Decode(&form); err != nil {
		return Announcement{}, fmt.Errorf("read the announcement: %w", err)
	}
	if form.Service == "" {
		return Announcement{}, errors.New("service is missing")
	}
	host, port, err := net.SplitHostPort(form.Address)
	if err != nil || net.ParseIP(host) == nil {
		return Announcement{}, fmt.Errorf("address %q is not an IP number and a port", form.Address)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return Announcement{}, fmt.Errorf("port of the address %q is out of range", form.Address)
	}
	if form.Slots < 1 || form.Slots > maxSlots {
		return Announcement{}, fmt.Errorf("slots are %d, outside 1 to %d", form.Slots, maxSlots)
	}
	return Announcement{service: form.Service, address: form.Address, slots: form.Slots, start: form.Start}, nil
}
