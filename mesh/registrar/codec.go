package registrar

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"

	"lagoonlanding.example/lagoonlanding"
)

// Codec converts registrations of daemons to and from their stored form.
type Codec struct{}

var _ lagoonlanding.Codec[lagoonlanding.Backend] = Codec{}

// encodedRegistration is the stored form of a daemon with its backend server.
type encodedRegistration struct {
	Daemon       string `json:"daemon"`
	Address      string `json:"peer-address"`
	Zone         string `json:"availability-zone"`
	Region       string `json:"region"`
	Service      string `json:"service"`
	Name         string `json:"backend-server,omitempty"`
	StartedMilli int64  `json:"born,omitempty"`
	Slots        int    `json:"slots,omitempty"`
	State        string `json:"state"`
	Frames       bool   `json:"compact-heads,omitempty"`
}

// Encode returns the stored form of the registration.
func (codec Codec) Encode(backend lagoonlanding.Backend) ([]byte, error) {
	encoded, err := json.Marshal(encodedRegistration{
		Daemon: backend.ID().Daemon(), Address: backend.PeerAddress(), Zone: backend.AvailabilityZone(), Region: backend.Region(),
		Service: backend.Service(), Name: backend.ID().Name(), StartedMilli: backend.ID().StartedMilli(), Slots: backend.Slots(), State: string(backend.State()),
		Frames: backend.AcceptsFrames(),
	})
	if err != nil {
		return nil, fmt.Errorf("encode registration: %w", err)
	}
	return encoded, nil
}

// validate checks the fields against the entry's key and their ranges: another writer may have written the entry.
func (encodedregistration encodedRegistration) validate(key string) error {
	if encodedregistration.Daemon == "" || !strings.HasSuffix(key, "/"+encodedregistration.Daemon) {
		return fmt.Errorf("entry of daemon %q", encodedregistration.Daemon)
	}
	_, port, err := net.SplitHostPort(encodedregistration.Address)
	if err != nil {
		return err
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return fmt.Errorf("port %q is not a number from 1 to 65535", port)
	}
	if encodedregistration.Slots < 0 || encodedregistration.Slots > lagoonlanding.MaxSlots {
		return fmt.Errorf("%d slots", encodedregistration.Slots)
	}
	return nil
}

// Decode returns the registration stored in an entry.
func (codec Codec) Decode(entry lagoonlanding.Entry) (lagoonlanding.Backend, error) {
	var decoded encodedRegistration
	if err := json.Unmarshal(entry.Value(), &decoded); err != nil {
		return lagoonlanding.Backend{}, fmt.Errorf("decode registration %s: %w", entry.Key(), err)
	}
	state := lagoonlanding.BackendState(decoded.State)
	switch state {
	case lagoonlanding.BackendAbsent, lagoonlanding.BackendReady, lagoonlanding.BackendDraining:
	default:
		return lagoonlanding.Backend{}, fmt.Errorf("decode registration %s: unknown state %q", entry.Key(), decoded.State)
	}
	if err := decoded.validate(entry.Key()); err != nil {
		return lagoonlanding.Backend{}, fmt.Errorf("decode registration %s: %w", entry.Key(), err)
	}
	return lagoonlanding.NewBackend(lagoonlanding.BackendConfig{
		ID:          lagoonlanding.NewBackendID(decoded.Daemon, decoded.Name, decoded.StartedMilli),
		PeerAddress: decoded.Address, AvailabilityZone: decoded.Zone, Region: decoded.Region,
		Service: decoded.Service, Slots: decoded.Slots, State: state, AcceptsFrames: decoded.Frames,
	}), nil
}
