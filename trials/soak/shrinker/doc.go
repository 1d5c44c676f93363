// Package shrinker drops events from a run that breaks a promise, as long as it still does.
package shrinker
