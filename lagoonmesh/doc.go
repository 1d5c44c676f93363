// Command lagoonmesh is the router's daemon on the users' platform, beside one backend server.
package main
