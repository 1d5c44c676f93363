// Package shrinker shortens a run that breaks a guarantee by removing events that are not needed to break it.
package shrinker
