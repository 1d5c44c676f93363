// Package loader reads the settings of the daemon and checks them as a whole.
package loader
