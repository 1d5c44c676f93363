package encoder

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding"
)

func instance(name string, incarnation uint64) lagoonlanding.Instance {
	return lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{
		ID: lagoonlanding.NewInstanceID(name, incarnation), PeerAddress: "10.0.0.1:7000", CallerAddress: "10.0.0.1:8000",
		AvailabilityZone: "piraeus", Region: "attica", Service: "status-app",
	})
}

func sampleRecord() lagoonlanding.Record {
	a, b := instance("a", 1<<63+5), instance("b", 2)
	layout := func(version uint64, state lagoonlanding.MemberState) lagoonlanding.Layout {
		return lagoonlanding.NewLayout(lagoonlanding.LayoutConfig{
			Version: version, Shards: 8,
			Members: []lagoonlanding.Member{
				lagoonlanding.NewMember(a, lagoonlanding.MemberActive, 100), lagoonlanding.NewMember(b, state, 50),
			},
			Witnesses: []lagoonlanding.Instance{b, a},
			Pins:      []lagoonlanding.Pin{lagoonlanding.NewPin(3, lagoonlanding.NewInstanceID("gone", 9))},
		})
	}
	group := lagoonlanding.NewGroupID("status-app", "attica")
	return lagoonlanding.NewRecord(group, layout(2, lagoonlanding.MemberLeaving), layout(1, lagoonlanding.MemberOutOfService), 7)
}

// exported lets cmp compare the unexported fields of all types.
var exported = cmp.Exporter(func(reflect.Type) bool { return true })

func TestRecordsRoundTrip(t *testing.T) {
	first := lagoonlanding.NewRecord(sampleRecord().Group(), sampleRecord().Prior(), lagoonlanding.Layout{}, 1)
	for _, want := range []lagoonlanding.Record{sampleRecord(), first} {
		data, err := Records{}.Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		entry := lagoonlanding.NewEntry(lagoonlanding.GroupKey(want.Group()), data, want.Revision())
		got, err := Records{}.Decode(entry)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got, exported); diff != "" {
			t.Error(diff)
		}
	}
}

func TestInvalidRecordsAreRefused(t *testing.T) {
	data, err := Records{}.Encode(sampleRecord())
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, old, new, want string }{
		{"newer format", `"format":1`, `"format":2`, "format version 2"},
		{"no format", `"format":1,`, ``, "format version 0"},
		{"unknown field", `"format":1`, `"format":1,"epoch":3`, "unknown field"},
		{"other group", `"partition":"attica"`, `"partition":"mesh"`, "status-app/mesh"},
		{"unknown state", `"leaving"`, `"idle"`, "unknown member state"},
		{"unlisted instance", `"witnesses":[1,0]`, `"witnesses":[1,9]`, "instance 9 is not listed"},
		{"pin outside", `"shard":3`, `"shard":8`, "pinned shard 8"},
		{"too many shards", `"shards":8`, `"shards":70000`, "70000 shards"},
		{"zero version", `"version":1`, `"version":0`, "version is zero"},
		{"prior not older", `"version":1`, `"version":2`, "not older"},
		{"trailing data", `{"format"`, `{}{"format"`, "invalid"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			broken := strings.ReplaceAll(string(data), test.old, test.new)
			_, err := Records{}.Decode(lagoonlanding.NewEntry("lagoonlanding/groups/status-app/attica", []byte(broken), 1))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want %q in it", err, test.want)
			}
		})
	}
}

func TestNewerFormatIsAVersionError(t *testing.T) {
	_, err := Records{}.Decode(lagoonlanding.NewEntry("lagoonlanding/groups/s/p", []byte(`{"format":5,"new-field":1}`), 1))
	var version *VersionError
	if !errors.As(err, &version) || version.Found() != 5 {
		t.Errorf("got %v", err)
	}
}

func FuzzRecordsDecode(f *testing.F) {
	data, err := Records{}.Encode(sampleRecord())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"format":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		key := "lagoonlanding/groups/status-app/attica"
		record, err := Records{}.Decode(lagoonlanding.NewEntry(key, data, 7))
		if err != nil {
			return
		}
		again, err := Records{}.Encode(record)
		if err != nil {
			t.Fatal(err)
		}
		second, err := Records{}.Decode(lagoonlanding.NewEntry(key, again, 7))
		if err != nil {
			t.Fatalf("%s: %v", again, err)
		}
		if diff := cmp.Diff(record, second, exported); diff != "" {
			t.Error(diff)
		}
	})
}
