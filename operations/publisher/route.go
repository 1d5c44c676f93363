package publisher

import (
	"net/url"
	"slices"
	"strings"
)

// KeySegment is the segment of a route's path that stands for the key.
const KeySegment = "{key}"

var knownMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Overlaps reports whether a request can match both routes.
func (route Route) Overlaps(other Route) bool {
	return methodsOverlap(route.Methods(), other.Methods()) && pathsOverlap(route.Path(), other.Path())
}

func methodsOverlap(first, second []string) bool {
	if len(first) == 0 || len(second) == 0 {
		return true
	}
	return slices.ContainsFunc(first, func(method string) bool { return slices.Contains(second, method) })
}

func pathsOverlap(first, second string) bool {
	left := strings.Split(first, "/")
	right := strings.Split(second, "/")
	if len(left) != len(right) {
		return false
	}
	for i := range left {
		if left[i] != right[i] && left[i] != KeySegment && right[i] != KeySegment {
			return false
		}
	}
	return true
}

func (checker *checker) checkRoutes() {
	routes := checker.set.Routes()
	for i, route := range routes {
		checker.checkRoute(route)
		for _, other := range routes[:i] {
			if route.Overlaps(other) {
				checker.addFault("route."+route.Name(), "path", "it overlaps with route %q, path %q", other.Name(), other.Path())
			}
		}
	}
}

func (checker *checker) checkRoute(route Route) {
	object := "route." + route.Name()
	if _, ok := checker.set.Class(route.Class()); !ok {
		checker.addFault(object, "class", "there is no class %q", route.Class())
	}
	for i, method := range route.Methods() {
		if !slices.Contains(knownMethods, method) || slices.Contains(route.Methods()[:i], method) {
			checker.addFault(object, "methods", "%q is unknown or listed twice", method)
		}
	}
	keys := checker.checkPath(object, route.Path())
	service, ok := checker.set.Service(route.Service())
	if !ok {
		checker.addFault(object, "service", "there is no service %q", route.Service())
		return
	}
	if service.IsDivided() && keys != 1 {
		checker.addFault(object, "path", "service %q is divided, so the path needs %s exactly once", service.Name(), KeySegment)
	}
}

func (checker *checker) checkPath(object, path string) int {
	if !strings.HasPrefix(path, "/") || len(path) > MaxPathLength {
		checker.addFault(object, "path", "it must start with / and have at most %d characters", MaxPathLength)
		return 0
	}
	segments := strings.Split(path[1:], "/")
	keys := 0
	for i, segment := range segments {
		if segment == KeySegment {
			keys++
			continue
		}
		if segment == "" && i < len(segments)-1 || segment == "." || segment == ".." || url.PathEscape(segment) != segment {
			checker.addFault(object, "path", "segment %q is empty, a dot, or holds characters that a path escapes", segment)
		}
	}
	if keys > 1 {
		checker.addFault(object, "path", "%s occurs more than once", KeySegment)
	}
	return keys
}

// checkHomeRegionCoverage finds workspaces for which a routed service has no partition within their home regions.
func (checker *checker) checkHomeRegionCoverage() {
	routed := map[string]bool{}
	for _, route := range checker.set.Routes() {
		routed[route.Service()] = true
	}
	uncoveredByHomeRegions := map[string][]string{}
	for _, workspace := range checker.set.Workspaces() {
		homeRegions := strings.Join(workspace.HomeRegions(), " ")
		uncovered, ok := uncoveredByHomeRegions[homeRegions]
		if !ok {
			uncovered = checker.uncoveredServices(workspace, routed)
			uncoveredByHomeRegions[homeRegions] = uncovered
		}
		for _, service := range uncovered {
			checker.addFault("workspace."+workspace.Name(), "home-regions", "no partition of service %q lies within these regions", service)
		}
	}
}

func (checker *checker) uncoveredServices(workspace Workspace, routed map[string]bool) []string {
	var uncovered []string
	for _, service := range checker.set.Services() {
		if !routed[service.Name()] || len(service.Partitions()) == 0 {
			continue
		}
		if !slices.ContainsFunc(service.Partitions(), func(partition Partition) bool {
			return !slices.ContainsFunc(partition.Regions(), func(region string) bool { return !workspace.Permits(region) })
		}) {
			uncovered = append(uncovered, service.Name())
		}
	}
	return uncovered
}
