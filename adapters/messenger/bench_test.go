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

func renewal() lagoonlanding.RenewRequest {
	return lagoonlanding.NewRenewRequest(lagoonlanding.RenewRequestConfig{
		Group:   lagoonlanding.NewGroupID("status-app", "attica"),
		Member:  lagoonlanding.NewInstanceID("status-app-1", 0x1234567890abcdef),
		Adopted: 1900, Released: 1900, Set: 420,
	})
}

func forwardedRequest() lagoonlanding.Request {
	return lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
		ID: "1234567890abcdef-1", Tenant: "marousi-mall", Class: "lookup",
		Key: lagoonlanding.NewKey("status-app", "karotsaki", "tag-0012345"), Method: "GET", Path: "/tags/tag-0012345",
		Headers: []lagoonlanding.Header{
			lagoonlanding.NewHeader("Accept", "application/json"), lagoonlanding.NewHeader("User-Agent", "desk/1.0"),
		},
		Deadline: time.Now().Add(time.Hour), Idempotent: true, Hops: 1, SetVersion: 420,
	})
}

// reportBytes gives the bytes of one call in both directions.
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
		if _, err := messenger.Renew(context.Background(), to, renewal()); err != nil {
			b.Fatal(err)
		}
	})
}

func BenchmarkForward(b *testing.B) {
	messenger, to, _ := start(b, &handler{forward: func(_ context.Context, request lagoonlanding.Request) lagoonlanding.Reply {
		return answered(request)
	}})
	reportBytes(b, messenger.pool.traffic, LaneForward, func() {
		if _, err := messenger.Forward(context.Background(), to, forwardedRequest()); err != nil {
			b.Fatal(err)
		}
	})
}

// streamCodec is what gob and JSON have in common.
type streamCodec struct {
	encode func(any) error
	decode func(any) error
}

func BenchmarkCodec(b *testing.B) {
	forms := map[string]struct{ from, to any }{
		"renewal": {encoder.FromRenewRequest(renewal()), &encoder.RenewRequest{}},
		"forward": {encoder.FromRequest(forwardedRequest(), time.Now()), &encoder.Request{}},
	}
	codecs := map[string]func(*bytes.Buffer) streamCodec{
		"gob": func(wire *bytes.Buffer) streamCodec {
			return streamCodec{gob.NewEncoder(wire).Encode, gob.NewDecoder(wire).Decode}
		},
		"json": func(wire *bytes.Buffer) streamCodec {
			return streamCodec{json.NewEncoder(wire).Encode, json.NewDecoder(wire).Decode}
		},
	}
	for formName, form := range forms {
		for codecName, open := range codecs {
			b.Run(formName+"/"+codecName, func(b *testing.B) { benchmarkCodec(b, open, form.from, form.to) })
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
	messenger.pool.limit = 1 << 20
	before := inUse()
	for number := 0; b.Loop(); number++ {
		link, err := messenger.pool.link(context.Background(), place{address: to.PeerAddress(), lane: LaneControl, number: number})
		if err != nil {
			b.Fatal(err)
		}
		form := encoder.FromRenewRequest(renewal())
		if err := link.call(context.Background(), methodRenew, form, &encoder.RenewReply{}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(inUse()-before)/float64(b.N), "held-B/op")
}

func inUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
