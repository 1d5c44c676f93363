package publisher

import (
	"net/url"
	"slices"
	"strings"
)

// KeySegment is the segment of a route's path where the key stands.
const KeySegment = "{key}"

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Overlaps reports whether some request fits both routes.
func (route Route) Overlaps(other Route) bool {
	return methodsMeet(route.Methods(), other.Methods()) && pathsMeet(route.Path(), other.Path())
}

func methodsMeet(first, second []string) bool {
	if len(first) == 0 || len(second) == 0 {
		return true
	}
	return slices.ContainsFunc(first, func(method string) bool { return slices.Contains(second, method) })
}

func pathsMeet(first, second string) bool {
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
				checker.add("route."+route.Name(), "path", "it overlaps with route %q, path %q", other.Name(), other.Path())
			}
		}
	}
}

func (checker *checker) checkRoute(route Route) {
	object := "route." + route.Name()
	if _, ok := checker.set.Class(route.Class()); !ok {
		checker.add(object, "class", "there is no class %q", route.Class())
	}
	for i, method := range route.Methods() {
		if !slices.Contains(methods, method) || slices.Contains(route.Methods()[:i], method) {
			checker.add(object, "methods", "%q is unknown or listed twice", method)
		}
	}
	keys := checker.checkPath(object, route.Path())
	service, ok := checker.set.Service(route.Service())
	if !ok {
		checker.add(object, "service", "there is no service %q", route.Service())
		return
	}
	if service.IsDivided() && keys != 1 {
		checker.add(object, "path", "service %q is divided, so the path needs %s exactly once", service.Name(), KeySegment)
	}
}

func (checker *checker) checkPath(object, path string) int {
	if !strings.HasPrefix(path, "/") || len(path) > MaxPathLength {
		checker.add(object, "path", "it must start with / and have at most %d characters", MaxPathLength)
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
			checker.add(object, "path", "segment %q is empty, a dot, or holds characters that a path escapes", segment)
		}
	}
	if keys > 1 {
		checker.add(object, "path", "%s stands more than once", KeySegment)
	}
	return keys
}

// checkReach finds workspaces whose requests no partition of a routed service may serve.
func (checker *checker) checkReach() {
	routed := map[string]bool{}
	for _, route := range checker.set.Routes() {
		routed[route.Service()] = true
	}
	reached := map[string][]string{}
	for _, workspace := range checker.set.Workspaces() {
		homes := strings.Join(workspace.HomeRegions(), " ")
		missing, ok := reached[homes]
		if !ok {
			missing = checker.unreached(workspace, routed)
			reached[homes] = missing
		}
		for _, service := range missing {
			checker.add("workspace."+workspace.Name(), "home-regions", "no partition of service %q lies within these regions", service)
		}
	}
}

func (checker *checker) unreached(workspace Workspace, routed map[string]bool) []string {
	var missing []string
	for _, service := range checker.set.Services() {
		if !routed[service.Name()] || len(service.Partitions()) == 0 {
			continue
		}
		if !slices.ContainsFunc(service.Partitions(), func(partition Partition) bool {
			return !slices.ContainsFunc(partition.Regions(), func(region string) bool { return !workspace.Permits(region) })
		}) {
			missing = append(missing, service.Name())
		}
	}
	return missing
}
