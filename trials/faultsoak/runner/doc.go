// Package runner runs one seed: a fleet of daemon processes, clients, and faults injected from outside.
package runner
