// Package mutator shows that the soak's checks can fail: it builds the soak with one fault each and seeks a seed that finds it.
package mutator
