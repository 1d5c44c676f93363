// Package sequencer runs the events of an experiment in simulated time.
package sequencer
