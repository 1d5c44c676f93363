// Package mutator runs mutation tests of the soak: it builds the soak with one planted fault each and searches for a seed that detects it.
package mutator
