package router

import (
	"testing"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

func testTable() *Table {
	route := func(name, path string, methods ...string) publisher.Route {
		return publisher.NewRoute(publisher.RouteConfig{Name: name, Path: path, Methods: methods})
	}
	return NewTable(publisher.NewSet(publisher.SetConfig{Routes: []publisher.Route{
		route("tag", "/tags/{key}"),
		route("tag-history", "/tags/{key}/history", "GET"),
		route("tag-release", "/tags/{key}/release", "POST"),
		route("directory", "/bays", "GET"),
	}}))
}

func TestTableMatch(t *testing.T) {
	cases := []struct {
		method, path, route, key string
		reason                   lagoonlanding.Reason
	}{
		{"GET", "/tags/7", "tag", "7", ""},
		{"PATCH", "/tags/7", "tag", "7", ""},
		{"GET", "/tags/7/history", "tag-history", "7", ""},
		{"PUT", "/tags/7/history", "tag", "7", ""},
		{"GET", "/tags/7/owner/name", "tag", "7", ""},
		{"GET", "/bays/north/3", "directory", "", ""},
		{"GET", "/tags/a%2Fb", "tag", "a/b", ""},
		{"GET", "/tags/a%252Fb", "tag", "a%2Fb", ""},
		{"GET", "/t%61gs/7", "tag", "7", ""},
		{"GET", "/tags/%CE%BA", "tag", "κ", ""},
		{"POST", "/bays", "", "", lagoonlanding.ReasonNoRoute},
		{"GET", "/tags", "", "", lagoonlanding.ReasonNoRoute},
		{"GET", "/", "", "", lagoonlanding.ReasonNoRoute},
		{"GET", "/unknown/7", "", "", lagoonlanding.ReasonNoRoute},
		{"GET", "/tags/", "", "", lagoonlanding.ReasonMalformed},
		{"GET", "/tags/%zz", "", "", lagoonlanding.ReasonMalformed},
		{"GET", "/tags/%ff", "", "", lagoonlanding.ReasonMalformed},
		{"GET", "/tags/a%0Ab", "", "", lagoonlanding.ReasonMalformed},
		{"GET", "/tags/..", "", "", lagoonlanding.ReasonMalformed},
		{"GET", "/bays/%2e%2e/tags/7", "", "", lagoonlanding.ReasonMalformed},
		{"GET", "tags/7", "", "", lagoonlanding.ReasonMalformed},
		{"OPTIONS", "*", "", "", lagoonlanding.ReasonMalformed},
	}
	table := testTable()
	for _, test := range cases {
		match, reason := table.Match(test.method, test.path)
		if reason != test.reason || match.Route().Name() != test.route || match.Key() != test.key {
			t.Errorf("%s %s: got route %q, key %q, reason %q", test.method, test.path, match.Route().Name(), match.Key(), reason)
		}
	}
}

func FuzzTableMatch(f *testing.F) {
	f.Add("GET", "/tags/7/history")
	f.Add("GET", "/tags/a%2Fb")
	f.Add("GET", "//..%2f")
	table := testTable()
	f.Fuzz(func(t *testing.T, method, path string) {
		match, reason := table.Match(method, path)
		if reason == lagoonlanding.ReasonNone && match.Route().Name() != "directory" && !isValidKey(match.Key()) {
			t.Errorf("%q matched with the invalid key %q", path, match.Key())
		}
	})
}
