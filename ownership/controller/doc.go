// Package controller holds all control state of an instance, which only the thread of its Runner changes.
package controller
