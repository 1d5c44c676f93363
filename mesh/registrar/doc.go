// Package registrar tracks the registered daemons of the fleet and their backend servers.
package registrar
