// Package player plays one seed: a fleet of daemons as processes, clients, and faults from outside.
package player
