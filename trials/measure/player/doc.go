// Package player plays the events of an experiment in the order of a clock that only events move.
package player
