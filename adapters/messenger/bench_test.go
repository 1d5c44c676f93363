package messenger

import (
	"bytes"
	"context"
	"encoding/gob"
	"encoding/json"
	"net/rpc"
	"runtime"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
)

func sampleRenewRequest() lagoonlanding.RenewRequest {
	return lagoonlanding.NewRenewRequest(lagoonlanding.RenewRequestConfig{
		Group:   lagoonlanding.NewGroupID("status-app", "attica"),
		Member:  lagoonlanding.NewInstanceID("status-app-1", 0x1234567890abcdef),
		Adopted: 1900, Released: 1900, Set: 420,
	})
}

func sampleRequest() lagoonlanding.Request {
	return lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
		ID: "1234567890abcdef-1", Tenant: "marousi-mall", Class: "lookup",
		Key: lagoonlanding.NewKey("status-app", "karotsaki", "tag-0012345"), Method: "GET", Path: "/tags/tag-0012345",
		Headers: []lagoonlanding.Header{
			lagoonlanding.NewHeader("Accept", "application/json"), lagoonlanding.NewHeader("User-Agent", "desk/1.0"),
		},
		Deadline: time.Now().Add(time.Hour), Idempotent: true, Hops: 1, SetVersion: 420,
	})
}

// reportBytes reports the bytes of one call in both directions.
func reportBytes(b *testing.B, traffic *Traffic, lane Lane, call func()) {
	b.ReportAllocs()
	call()
	before := traffic.Sent(lane) + traffic.Received(lane)
	for b.Loop() {
		call()
	}
	b.ReportMetric(float64(traffic.Sent(lane)+traffic.Received(lane)-before)/float64(b.N), "wire-B/op")
}

func BenchmarkRenewal(b *testing.B) {
	messenger, to, _ := start(b, &handler{})
	reportBytes(b, messenger.pool.traffic, LaneControl, func() {
		if _, err := messenger.Renew(context.Background(), to, sampleRenewRequest()); err != nil {
			b.Fatal(err)
		}
	})
}

func BenchmarkForward(b *testing.B) {
	messenger, to, _ := start(b, &handler{forward: func(_ context.Context, request lagoonlanding.Request) lagoonlanding.Reply {
		return echo(request)
	}})
	reportBytes(b, messenger.pool.traffic, LaneForward, func() {
		if _, err := messenger.Forward(context.Background(), to, sampleRequest()); err != nil {
			b.Fatal(err)
		}
	})
}

// streamCodec is the common interface of the gob and JSON codecs.
type streamCodec struct {
	encode func(any) error
	decode func(any) error
}

func BenchmarkCodec(b *testing.B) {
	messages := map[string]struct{ from, to any }{
		"renewal": {encoder.FromRenewRequest(sampleRenewRequest()), &encoder.RenewRequest{}},
		"forward": {encoder.FromRequest(sampleRequest(), time.Now()), &encoder.Request{}},
	}
	codecs := map[string]func(*bytes.Buffer) streamCodec{
		"gob": func(wire *bytes.Buffer) streamCodec {
			return streamCodec{gob.NewEncoder(wire).Encode, gob.NewDecoder(wire).Decode}
		},
		"json": func(wire *bytes.Buffer) streamCodec {
			return streamCodec{json.NewEncoder(wire).Encode, json.NewDecoder(wire).Decode}
		},
	}
	for messageName, message := range messages {
		for codecName, open := range codecs {
			b.Run(messageName+"/"+codecName, func(b *testing.B) { benchmarkCodec(b, open, message.from, message.to) })
		}
	}
}

func benchmarkCodec(b *testing.B, open func(*bytes.Buffer) streamCodec, from, to any) {
	var wire bytes.Buffer
	stream := open(&wire)
	size := 0
	pass := func() {
		header := rpc.Request{ServiceMethod: "Daemon.Forward", Seq: 100000}
		if err := stream.encode(header); err != nil {
			b.Fatal(err)
		}
		if err := stream.encode(from); err != nil {
			b.Fatal(err)
		}
		size = wire.Len()
		if err := stream.decode(&header); err != nil {
			b.Fatal(err)
		}
		if err := stream.decode(to); err != nil {
			b.Fatal(err)
		}
	}
	pass() // The first message of a stream carries gob's type descriptions.
	b.ReportAllocs()
	for b.Loop() {
		pass()
	}
	b.ReportMetric(float64(size), "wire-B/op")
}

// BenchmarkConnection opens connections that each carry one message and reports the memory of both ends.
func BenchmarkConnection(b *testing.B) {
	messenger, to, _ := start(b, &handler{})
	messenger.pool.maxConnections = 1 << 20
	before := heapInUse()
	for index := 0; b.Loop(); index++ {
		connection, err := messenger.pool.connection(context.Background(), connectionKey{address: to.PeerAddress(), lane: LaneControl, index: index})
		if err != nil {
			b.Fatal(err)
		}
		message := encoder.FromRenewRequest(sampleRenewRequest())
		if err := connection.call(context.Background(), methodRenew, message, &encoder.RenewReply{}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(heapInUse()-before)/float64(b.N), "held-B/op")
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
