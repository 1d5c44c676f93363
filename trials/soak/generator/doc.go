// Package generator generates the random events of a run from a seed.
package generator
