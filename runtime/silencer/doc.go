// Package silencer makes TCP connections go silent, for tests and soaks.
package silencer
