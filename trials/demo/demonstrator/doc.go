// Package demonstrator plays the demonstration: load, a lost owner, and an availability zone that leaves and returns.
package demonstrator
