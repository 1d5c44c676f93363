// Package checker observes a simulated fleet from outside and reports each broken guarantee.
package checker
