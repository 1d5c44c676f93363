package messenger

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// The versions of the protocol between daemons.
const (
	// ProtocolVersion is the version that this program speaks.
	ProtocolVersion = 1
	// oldestVersion is the oldest version that this program still answers.
	oldestVersion = 1
)

const (
	magic        = "lagoon"
	preambleSize = len(magic) + 2
	// preambleTimeout bounds the wait for the other side's preamble.
	preambleTimeout = time.Second
)

type verdict uint8

const (
	verdictAccepted verdict = iota + 1
	verdictUnsupported
	verdictBusy
)

// VersionError says that two daemons speak versions of the protocol that do not go together.
type VersionError struct {
	ours   int
	theirs int
}

// Ours returns the version that this program speaks.
func (versionerror *VersionError) Ours() int { return versionerror.ours }

// Theirs returns the version of the other daemon.
func (versionerror *VersionError) Theirs() int { return versionerror.theirs }

// Error names both versions.
func (versionerror *VersionError) Error() string {
	return fmt.Sprintf("the peer speaks protocol version %d, this daemon version %d", versionerror.theirs, versionerror.ours)
}

var (
	errNotPeer = errors.New("the other side is no daemon of this kind")
	errBusy    = errors.New("the peer takes no more connections")
)

// preamble opens each direction of a connection: the magic, the version, and the lane or the verdict.
func preamble(version uint8, last uint8) []byte {
	return append([]byte(magic), version, last)
}

func readPreamble(conn net.Conn) (version uint8, last uint8, err error) {
	if err := conn.SetReadDeadline(time.Now().Add(preambleTimeout)); err != nil {
		return 0, 0, err
	}
	data := make([]byte, preambleSize)
	if _, err := io.ReadFull(conn, data); err != nil {
		return 0, 0, fmt.Errorf("read the preamble: %w", err)
	}
	if string(data[:len(magic)]) != magic {
		return 0, 0, errNotPeer
	}
	return data[len(magic)], data[len(magic)+1], conn.SetReadDeadline(time.Time{})
}

// greet opens a connection to a peer.
func greet(conn net.Conn, lane Lane) error {
	if _, err := conn.Write(preamble(ProtocolVersion, uint8(lane))); err != nil {
		return fmt.Errorf("send the preamble: %w", err)
	}
	version, answer, err := readPreamble(conn)
	if err != nil {
		return err
	}
	switch verdict(answer) {
	case verdictAccepted:
		return nil
	case verdictUnsupported:
		return &VersionError{ours: ProtocolVersion, theirs: int(version)}
	case verdictBusy:
		return errBusy
	}
	return errNotPeer
}

// receive answers a peer that opens a connection and returns its lane.
func receive(conn net.Conn) (Lane, error) {
	version, last, err := readPreamble(conn)
	if err != nil {
		return 0, err
	}
	if version < oldestVersion || version > ProtocolVersion {
		_, _ = conn.Write(preamble(ProtocolVersion, uint8(verdictUnsupported)))
		return 0, &VersionError{ours: ProtocolVersion, theirs: int(version)}
	}
	lane := Lane(last)
	if !lane.isValid() {
		return 0, errNotPeer
	}
	_, err = conn.Write(preamble(ProtocolVersion, uint8(verdictAccepted)))
	return lane, err
}
