package sizer

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

// Message is what one renewal with its answer costs on the wire and in both processes together.
type Message struct {
	loads     int
	sent      float64
	received  float64
	processor time.Duration
}

// Loads returns the number of shard loads in the renewal.
func (message Message) Loads() int { return message.loads }

// Sent returns the bytes of the renewal.
func (message Message) Sent() float64 { return message.sent }

// Received returns the bytes of its answer.
func (message Message) Received() float64 { return message.received }

// Processor returns the processor time of the asking and the answering side together.
func (message Message) Processor() time.Duration { return message.processor }

const renewals = 2000

// witness answers renewals as a quiet witness does.
type witness struct{ lagoonlanding.PeerHandler }

// OnRenew grants the renewal.
func (witness witness) OnRenew(request lagoonlanding.RenewRequest) lagoonlanding.RenewReply {
	return lagoonlanding.NewRenewReply(lagoonlanding.RenewGranted, request.Adopted(), 123456)
}

// MeasureMessage sends renewals with the given number of shard loads over one connection to the port of this machine.
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
	to := lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{ID: instanceOf(0, 0).ID(), PeerAddress: listener.Addr().String()})
	config := lagoonlanding.RenewRequestConfig{Group: groupID(7), Member: instanceOf(7, 3).ID(), Adopted: 4711, Released: 4711, Set: 1900}
	for number := range loads {
		config.Loads = append(config.Loads, lagoonlanding.NewShardLoad(100+number, 812.5+float64(number)))
	}
	request := lagoonlanding.NewRenewRequest(config)
	ask := func(count int) error {
		for range count {
			if _, err := client.Renew(context.Background(), to, request); err != nil {
				return fmt.Errorf("renew: %w", err)
			}
		}
		return nil
	}
	// The first messages carry the descriptions of their types.
	if err := ask(10); err != nil {
		return Message{}, err
	}
	sent, received, spent := traffic.Sent(messenger.LaneControl), traffic.Received(messenger.LaneControl), processor()
	if err := ask(renewals); err != nil {
		return Message{}, err
	}
	return Message{
		loads: loads, sent: float64(traffic.Sent(messenger.LaneControl)-sent) / renewals,
		received:  float64(traffic.Received(messenger.LaneControl)-received) / renewals,
		processor: (processor() - spent) / renewals,
	}, nil
}

// processor returns the processor time of this process.
func processor() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// SetBytes returns the size of an encoded set with the given number of tenants, each with a workspace.
func SetBytes(tenants int) (int, error) {
	value, err := encoder.Sets{}.Encode(setOf(1, 180, 256, tenants))
	if err != nil {
		return 0, fmt.Errorf("encode a set of %d tenants: %w", tenants, err)
	}
	return len(value), nil
}
