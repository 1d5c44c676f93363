// Package timekeeper provides the clocks of the operating system.
package timekeeper
