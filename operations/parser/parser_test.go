package parser

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

func TestParseGood(t *testing.T) {
	sources, err := Read("testdata/good")
	if err != nil {
		t.Fatal(err)
	}
	set, faults := Parse(sources)
	if len(faults) > 0 {
		t.Fatalf("faults: %v", faults)
	}
	zone, ok := set.AvailabilityZone("ladadika")
	if !ok || !zone.IsOut() || zone.Region() != "macedonia" {
		t.Errorf("zone %v, %v", zone, ok)
	}
	requireRoundTrip(t, set)
}

func requireRoundTrip(t *testing.T, set *publisher.Set) {
	t.Helper()
	text, err := Format(set)
	if err != nil {
		t.Fatal(err)
	}
	parsed, faults := Parse([]Source{NewSource("formatted", text)})
	if len(faults) > 0 {
		t.Fatalf("faults in formatted set: %v\n%s", faults, text)
	}
	second, err := Format(parsed)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(text, second); diff != "" {
		t.Fatal(diff)
	}
}

func TestParseReportsEveryFault(t *testing.T) {
	sources, err := Read("testdata/bad/set.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, first := Parse(sources)
	requireFaults(t, first, []string{
		`testdata/bad/set.toml:14: service.status-app: replicas: there is no such field`,
		`testdata/bad/set.toml:19: service.archive: divided: it must be true or false`,
		`testdata/bad/set.toml:20: service.archive: longest-deadline: "soon" is no duration such as "1.5s"`,
		`testdata/bad/set.toml:47: set: colour: there is no such field`,
		`testdata/bad/set.toml:4: availability-zone.piraeus: region: there is no home-region "atica"`,
		`testdata/bad/set.toml:5: availability-zone.Marousi: the name must be in kebab case (a-z, 0-9, -) with at most 63 characters`,
		`testdata/bad/set.toml:11: service.status-app: slots: 0 is not between 1 and 1000000`,
		`testdata/bad/set.toml:15: service.status-app.partition.mesh: shards: 0 is not between 1 and 4096`,
		`testdata/bad/set.toml:16: service.status-app.partition.mesh: regions: there is no home-region "crete"`,
		`testdata/bad/set.toml:29: workspace.harbour: home-regions: there is no home-region "macedonia"`,
		`testdata/bad/set.toml:29: workspace.harbour: home-regions: no partition of service "status-app" lies within these regions`,
		`testdata/bad/set.toml:32: tenant.port: workspace: there is no workspace "habour"`,
		`testdata/bad/set.toml:43: route.two: path: it overlaps with route "one", path "/tags/{key}"`,
		`testdata/bad/set.toml:43: route.two: path: service "status-app" is divided, so the path needs {key} exactly once`,
		`testdata/bad/set.toml:45: route.two: class: there is no class "urgent"`,
	})
}

func requireFaults(t *testing.T, faults []Fault, want []string) {
	t.Helper()
	var got []string
	for _, fault := range faults {
		got = append(got, fault.Error())
	}
	missing := map[string]bool{}
	for _, line := range want {
		missing[line] = true
	}
	for _, line := range got {
		if !missing[line] {
			t.Errorf("unexpected: %s", line)
		}
		delete(missing, line)
	}
	for line := range missing {
		t.Errorf("missing: %s", line)
	}
}

func TestParseRefusals(t *testing.T) {
	cases := []struct {
		name    string
		sources []Source
		want    string
	}{
		{"no file", nil, "set: there is no .toml file"},
		{"syntax", []Source{NewSource("a", "x = \n")}, "a:1: set: not valid TOML: "},
		{"scalar for a table", []Source{NewSource("a", "home-region = 3\n")}, "a:1: home-region: it must be a table"},
		{"array of tables", []Source{NewSource("a", "[[route]]\n")}, "a:1: route: it must be a table"},
		{"twice in two files", []Source{NewSource("a", "[class.x]\ncost = 1"), NewSource("b", "\n[class.x]\ncost = 1")},
			"b:2: class.x: the name is used twice, first at a:1"},
		{"too large", []Source{NewSource("a", strings.Repeat("#", MaxSourceSize+1))}, "set: the files have more than"},
		{"too many", []Source{NewSource("a", manyClasses(publisher.MaxClasses+1))}, "class: the set has 65 objects of this kind"},
		{"no field at the top", []Source{NewSource("a", "version = 3")}, "a:1: set: version: there is no such field"},
		{"number out of range", []Source{NewSource("a", "[class.x]\ncost = 99999999999")}, "a:2: class.x: cost: 99999999999 is not between"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			set, faults := Parse(test.sources)
			if set != nil || len(faults) != 1 || !strings.HasPrefix(faults[0].Error(), test.want) {
				t.Errorf("set %v, faults %v, want %s", set, faults, test.want)
			}
		})
	}
}

func manyClasses(count int) string {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, "[class.c%d]\ncost = 1\n", i)
	}
	return text.String()
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"testdata/good/places.toml", "testdata/good/services.toml", "testdata/bad/set.toml"} {
		text, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
	f.Add("a.b = {c = [1, {}]}\nroute.x.\"\" = 2")
	f.Fuzz(func(t *testing.T, text string) {
		set, faults := Parse([]Source{NewSource("fuzz", text)})
		if (set == nil) != (len(faults) > 0) {
			t.Fatalf("set %v with faults %v", set, faults)
		}
		if set != nil {
			requireRoundTrip(t, set)
		}
	})
}
