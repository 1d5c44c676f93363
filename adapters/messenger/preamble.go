package messenger

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// The versions of the peer protocol.
const (
	// ProtocolVersion is the version that this program uses.
	ProtocolVersion = 1
	// oldestVersion is the oldest version that this program accepts from a peer.
	oldestVersion = 1
)

const (
	magic        = "lagoon"
	preambleSize = len(magic) + 2
	// preambleTimeout limits the wait for the preamble of the remote end.
	preambleTimeout = time.Second
)

// handshakeResult is the result that a server returns in its preamble.
type handshakeResult uint8

const (
	resultAccepted handshakeResult = iota + 1
	resultUnsupported
	resultBusy
)

// VersionError means that two daemons use incompatible versions of the peer protocol.
type VersionError struct {
	ours   int
	theirs int
}

// Ours returns the protocol version of this program.
func (versionerror *VersionError) Ours() int { return versionerror.ours }

// Theirs returns the protocol version of the other daemon.
func (versionerror *VersionError) Theirs() int { return versionerror.theirs }

// Error returns a message with both versions.
func (versionerror *VersionError) Error() string {
	return fmt.Sprintf("unsupported protocol version: the peer uses %d, this daemon %d", versionerror.theirs, versionerror.ours)
}

var (
	errUnknownProtocol = errors.New("invalid preamble: the remote end does not use the peer protocol")
	errBusy            = errors.New("the peer refused the connection: connection limit reached or shutting down")
)

// preamble returns the first bytes of each direction of a connection: the magic, the version, and the lane or the handshake result.
func preamble(version uint8, code uint8) []byte {
	return append([]byte(magic), version, code)
}

func readPreamble(conn net.Conn) (version uint8, code uint8, err error) {
	if err := conn.SetReadDeadline(time.Now().Add(preambleTimeout)); err != nil {
		return 0, 0, err
	}
	data := make([]byte, preambleSize)
	if _, err := io.ReadFull(conn, data); err != nil {
		return 0, 0, fmt.Errorf("read the preamble: %w", err)
	}
	if string(data[:len(magic)]) != magic {
		return 0, 0, errUnknownProtocol
	}
	return data[len(magic)], data[len(magic)+1], conn.SetReadDeadline(time.Time{})
}

// clientHandshake sends the preamble for the lane and checks the result from the peer.
func clientHandshake(conn net.Conn, lane Lane) error {
	if _, err := conn.Write(preamble(ProtocolVersion, uint8(lane))); err != nil {
		return fmt.Errorf("send the preamble: %w", err)
	}
	version, code, err := readPreamble(conn)
	if err != nil {
		return err
	}
	switch handshakeResult(code) {
	case resultAccepted:
		return nil
	case resultUnsupported:
		return &VersionError{ours: ProtocolVersion, theirs: int(version)}
	case resultBusy:
		return errBusy
	}
	return errUnknownProtocol
}

// serverHandshake reads the preamble of a peer, replies to it and returns the lane.
func serverHandshake(conn net.Conn) (Lane, error) {
	version, code, err := readPreamble(conn)
	if err != nil {
		return 0, err
	}
	if version < oldestVersion || version > ProtocolVersion {
		_, _ = conn.Write(preamble(ProtocolVersion, uint8(resultUnsupported)))
		return 0, &VersionError{ours: ProtocolVersion, theirs: int(version)}
	}
	lane := Lane(code)
	if !lane.isValid() {
		return 0, errUnknownProtocol
	}
	_, err = conn.Write(preamble(ProtocolVersion, uint8(resultAccepted)))
	return lane, err
}
