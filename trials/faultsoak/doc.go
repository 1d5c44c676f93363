// Command faultsoak runs a fleet of real daemons against a simulated platform, injects faults from outside, and checks the guarantees.
package main
