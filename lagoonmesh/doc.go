// Command lagoonmesh is the router daemon that runs beside one backend server on the users' platform.
package main
