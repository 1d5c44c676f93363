// Package loader reads the settings file of the daemon and validates all settings.
package loader
