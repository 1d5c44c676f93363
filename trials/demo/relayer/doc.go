// Package relayer carries the connections between the processes of a deployment, so that they can be cut, delayed and reset.
package relayer
