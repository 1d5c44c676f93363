// Package simulator applies events to a simulated fleet in one process: the real control and traffic code with a fake network, store and clocks.
package simulator
