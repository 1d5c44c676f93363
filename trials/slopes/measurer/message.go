package measurer

import (
	"context"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
	"lagoonlanding.example/lagoonlanding/adapters/messenger"
	"lagoonlanding.example/lagoonlanding/runtime/timekeeper"
)

// Message is the cost of one renewal with its reply.
type Message struct {
	loads    int
	sent     float64
	received float64
	cpuTime  time.Duration
}

// Loads returns the number of shard loads in the renewal.
func (message Message) Loads() int { return message.loads }

// SentBytes returns the mean size of a renewal in bytes.
func (message Message) SentBytes() float64 { return message.sent }

// ReceivedBytes returns the mean size of its reply in bytes.
func (message Message) ReceivedBytes() float64 { return message.received }

// CPUTime returns the CPU time of client and server together.
func (message Message) CPUTime() time.Duration { return message.cpuTime }

const renewalCount = 2000

// witness is a handler that grants every renewal.
type witness struct{ lagoonlanding.PeerHandler }

// OnRenew grants the renewal without a change of the layout or the directory.
func (witness witness) OnRenew(request lagoonlanding.RenewRequest) lagoonlanding.RenewReply {
	return lagoonlanding.NewRenewReply(lagoonlanding.RenewGranted, request.Adopted(), 123456)
}

// MeasureMessage sends renewals with the given number of shard loads over one connection to the loopback port.
func MeasureMessage(loads, port int) (Message, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return Message{}, fmt.Errorf("listen for renewals: %w", err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := messenger.NewServer(messenger.ServerConfig{Handler: witness{}, Clock: timekeeper.Clock{}, Log: log.WithField("part", "slopes")})
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = listener.Close() }()
	traffic := &messenger.Traffic{}
	client := messenger.New(messenger.Config{Clock: timekeeper.Clock{}, Traffic: traffic})
	defer client.Close()
	target := lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{ID: newInstance(0, 0).ID(), PeerAddress: listener.Addr().String()})
	config := lagoonlanding.RenewRequestConfig{Group: newGroupID(7), Member: newInstance(7, 3).ID(), Adopted: 4711, Released: 4711, Set: 1900}
	for number := range loads {
		config.Loads = append(config.Loads, lagoonlanding.NewShardLoad(100+number, 812.5+float64(number)))
	}
	request := lagoonlanding.NewRenewRequest(config)
	renew := func(count int) error {
		for range count {
			if _, err := client.Renew(context.Background(), target, request); err != nil {
				return fmt.Errorf("send a renewal: %w", err)
			}
		}
		return nil
	}
	// The first messages also carry gob type descriptions and are not counted.
	if err := renew(10); err != nil {
		return Message{}, err
	}
	sent, received, began := traffic.Sent(messenger.LaneControl), traffic.Received(messenger.LaneControl), cpuTime()
	if err := renew(renewalCount); err != nil {
		return Message{}, err
	}
	return Message{
		loads: loads, sent: float64(traffic.Sent(messenger.LaneControl)-sent) / renewalCount,
		received: float64(traffic.Received(messenger.LaneControl)-received) / renewalCount,
		cpuTime:  (cpuTime() - began) / renewalCount,
	}, nil
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// SetBytes returns the size of an encoded set with the given number of tenants, each with a workspace.
func SetBytes(tenants int) (int, error) {
	value, err := encoder.Sets{}.Encode(newSet(1, 180, 256, tenants))
	if err != nil {
		return 0, fmt.Errorf("encode a set of %d tenants: %w", tenants, err)
	}
	return len(value), nil
}
