package prober

import (
	"context"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding"
)

// upstream answers health checks from a script.
type upstream struct{ script []string }

func (upstream *upstream) Serve(context.Context, lagoonlanding.Request, lagoonlanding.Fence) (lagoonlanding.Reply, error) {
	return lagoonlanding.Reply{}, errors.ErrUnsupported
}

func (upstream *upstream) Report(context.Context) (lagoonlanding.UpstreamReport, error) {
	status := upstream.script[0]
	upstream.script = upstream.script[1:]
	if status == "silent" {
		return lagoonlanding.UpstreamReport{}, errors.New("no answer")
	}
	return lagoonlanding.NewUpstreamReport(status == "ready", 0, 6), nil
}

func TestProberReportsEachChangeOnce(t *testing.T) {
	cases := []struct {
		name   string
		script []string
		want   []string
	}{
		{name: "one failed check", script: []string{"ready", "silent", "ready"}},
		{name: "down and up", script: []string{"silent", "silent", "silent", "ready", "ready"}, want: []string{"gone", "back"}},
		{name: "drain", script: []string{"ready", "draining", "draining"}, want: []string{"gone"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			prober := New(Config{
				Upstream: &upstream{script: test.script},
				OnDown:   func() { got = append(got, "gone") },
				OnUp:     func() { got = append(got, "back") },
			})
			for range test.script {
				prober.Probe(t.Context())
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
