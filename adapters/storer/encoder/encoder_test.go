package encoder

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding"
)

func FuzzDecodeListing(f *testing.F) {
	f.Add([]byte(`{"entries":[{"key":"a","value":"MQ==","revision":3}],"revision":4}`))
	f.Add([]byte(`{"entries":[{"key":"a","value":null,"revision":3}],"revision":4}`))
	f.Add([]byte(`{"entries":`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		listing, err := DecodeListing(data)
		if err != nil {
			return
		}
		encoded, err := EncodeListing(listing)
		if err != nil {
			t.Fatalf("encode: %v", err)
		}
		again, err := DecodeListing(encoded)
		if err != nil {
			t.Fatalf("decode again: %v", err)
		}
		exported := cmp.AllowUnexported(lagoonlanding.Listing{}, lagoonlanding.Entry{})
		if difference := cmp.Diff(listing, again, exported); difference != "" {
			t.Fatal(difference)
		}
	})
}

func TestInvalidRevisionIsRefused(t *testing.T) {
	for _, data := range []string{`{}`, `{"revision":0}`, `{"revision":-1}`, ``} {
		if revision, err := DecodeRevision([]byte(data)); err == nil {
			t.Errorf("%q: got revision %d", data, revision)
		}
	}
}
