// Package checker compares what callers were told with what backend servers ran.
package checker
