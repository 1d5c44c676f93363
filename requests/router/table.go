package router

import (
	"net/url"
	"slices"
	"strings"
	"unicode/utf8"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

const (
	keySegment = "{key}"
	// maxSegments bounds the number of path segments.
	maxSegments = 64
	// maxKeyBytes bounds the length of a key.
	maxKeyBytes = 1024
)

// Table is the routing table of a published set.
type Table struct {
	root *node
}

// node is a node of the prefix tree of all route patterns.
type node struct {
	literals map[string]*node
	key      *node
	routes   []publisher.Route
}

func newNode() *node { return &node{literals: make(map[string]*node)} }

// Match is the route of a request with the key from its path.
type Match struct {
	route publisher.Route
	key   string
}

// Route returns the matched route.
func (match Match) Route() publisher.Route { return match.route }

// Key returns the decoded key, empty if the pattern has none.
func (match Match) Key() string { return match.key }

// NewTable returns the routing table of the set.
func NewTable(set *publisher.Set) *Table {
	table := &Table{root: newNode()}
	for _, route := range set.Routes() {
		table.add(route)
	}
	return table
}

func (table *Table) add(route publisher.Route) {
	node := table.root
	for segment := range strings.SplitSeq(strings.TrimPrefix(route.Path(), "/"), "/") {
		node = node.child(segment)
	}
	node.routes = append(node.routes, route)
}

func (node *node) child(segment string) *node {
	if segment == keySegment {
		if node.key == nil {
			node.key = newNode()
		}
		return node.key
	}
	next, ok := node.literals[segment]
	if !ok {
		next = newNode()
		node.literals[segment] = next
	}
	return next
}

// Match returns the route whose pattern matches the longest prefix of the escaped path, or the reason why there is none.
//
// Escaped bytes are decoded once after the path is split, so a key may contain a slash.
func (table *Table) Match(method, path string) (Match, lagoonlanding.Reason) {
	segments, ok := split(path)
	if !ok {
		return Match{}, lagoonlanding.ReasonMalformed
	}
	search := search{method: method, segments: segments}
	search.visit(table.root, 0, "", false)
	if search.depth == 0 {
		return Match{}, lagoonlanding.ReasonNoRoute
	}
	if search.hasKey && !isValidKey(search.found.key) {
		return Match{}, lagoonlanding.ReasonMalformed
	}
	return search.found, lagoonlanding.ReasonNone
}

// search walks the tree along the segments of a path and keeps the deepest match.
type search struct {
	method   string
	segments []string
	found    Match
	hasKey   bool
	depth    int
}

func (search *search) visit(node *node, depth int, key string, hasKey bool) {
	if depth > search.depth {
		if route, ok := node.route(search.method); ok {
			search.found, search.hasKey, search.depth = Match{route: route, key: key}, hasKey, depth
		}
	}
	if depth == len(search.segments) {
		return
	}
	segment := search.segments[depth]
	if next, ok := node.literals[segment]; ok {
		search.visit(next, depth+1, key, hasKey)
	}
	if node.key != nil {
		search.visit(node.key, depth+1, segment, true)
	}
}

func (node *node) route(method string) (publisher.Route, bool) {
	for _, route := range node.routes {
		if len(route.Methods()) == 0 || slices.Contains(route.Methods(), method) {
			return route, true
		}
	}
	return publisher.Route{}, false
}

// split returns the decoded segments of a path; dot segments are rejected because backend servers may resolve them.
func split(path string) ([]string, bool) {
	rest, ok := strings.CutPrefix(path, "/")
	if !ok {
		return nil, false
	}
	segments := strings.SplitN(rest, "/", maxSegments+1)
	if len(segments) > maxSegments {
		return nil, false
	}
	for i, segment := range segments {
		decoded, err := url.PathUnescape(segment)
		if err != nil || decoded == "." || decoded == ".." {
			return nil, false
		}
		segments[i] = decoded
	}
	return segments, true
}

// isValidKey reports whether the text is a valid key, which must be safe in logs and header fields.
func isValidKey(text string) bool {
	if text == "" || len(text) > maxKeyBytes || !utf8.ValidString(text) {
		return false
	}
	return !strings.ContainsFunc(text, func(char rune) bool { return char < ' ' || char == '\x7f' })
}
