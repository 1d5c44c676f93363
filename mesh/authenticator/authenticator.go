package authenticator

import "lagoonlanding.example/lagoonlanding"

// Identify returns the workspace to which a request of the route with the key belongs, the zero value for none; it returns false if the request
// must be refused because its key is missing or unknown.
//
// On a route that needs no key, an unknown key counts as none. Requests belong to no workspace if the configuration names none.
func Identify(routing *lagoonlanding.Routing, route lagoonlanding.PathRoute, key lagoonlanding.KeyDigest) (lagoonlanding.Workspace, bool) {
	if !routing.Identifies() {
		return lagoonlanding.Workspace{}, true
	}
	if workspace, ok := routing.KeyOwner(key); ok {
		return workspace, true
	}
	return lagoonlanding.Workspace{}, route.AllowsAnonymous()
}
