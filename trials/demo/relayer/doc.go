// Package relayer relays the connections between the processes of a deployment and simulates network faults: partitions, delays and resets.
package relayer
