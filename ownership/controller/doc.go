// Package controller holds all control state of an instance; its Runner is the one thread that changes it.
package controller
