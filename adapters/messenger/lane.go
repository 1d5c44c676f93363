package messenger

import (
	"net"
	"sync/atomic"
	"time"
)

// Lane is a class of messages with its own connections, so that messages of one lane never wait for those of another.
type Lane uint8

// The lanes to a peer.
const (
	// LaneControl carries renewals and other small messages of the control thread.
	LaneControl Lane = iota + 1
	// LaneTransfer carries handovers, directory entries, group statuses and suspects.
	LaneTransfer
	// LaneForward carries forwarded requests.
	LaneForward
	// LaneBulk carries forwarded requests with large bodies.
	LaneBulk
)

// laneCount is the number of lanes.
const laneCount = 4

func (lane Lane) isValid() bool { return lane >= LaneControl && lane <= LaneBulk }

// IsControl reports whether the lane carries messages of the control thread, not forwarded requests.
func (lane Lane) IsControl() bool { return lane == LaneControl || lane == LaneTransfer }

// String returns the name of the lane.
func (lane Lane) String() string {
	switch lane {
	case LaneControl:
		return "control"
	case LaneTransfer:
		return "transfer"
	case LaneForward:
		return "forward"
	case LaneBulk:
		return "bulk"
	}
	return "invalid"
}

// Traffic counts the bytes that a daemon sends to and receives from its peers, by lane.
type Traffic struct {
	sent     [laneCount + 1]atomic.Uint64
	received [laneCount + 1]atomic.Uint64
}

// Sent returns the bytes sent on the lane.
func (traffic *Traffic) Sent(lane Lane) uint64 { return traffic.sent[lane].Load() }

// Received returns the bytes received on the lane.
func (traffic *Traffic) Received(lane Lane) uint64 { return traffic.received[lane].Load() }

// countedConn counts bytes and sets a timeout for each write, so that a peer that does not read cannot block its sender.
type countedConn struct {
	net.Conn
	lane    Lane
	traffic *Traffic
}

// writeTimeout limits one write to a peer that has stopped reading.
const writeTimeout = 2 * time.Second

func (countedconn *countedConn) Read(data []byte) (int, error) {
	n, err := countedconn.Conn.Read(data)
	countedconn.traffic.received[countedconn.lane].Add(uint64(n))
	return n, err
}

func (countedconn *countedConn) Write(data []byte) (int, error) {
	if err := countedconn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := countedconn.Conn.Write(data)
	countedconn.traffic.sent[countedconn.lane].Add(uint64(n))
	return n, err
}
