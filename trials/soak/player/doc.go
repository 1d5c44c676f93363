// Package player plays events on a fleet in one process: the real control and traffic code over a fake network, store and clocks.
package player
