// Package chronicler reads the journal of the users' bench and shows how the worth of each standard day has changed.
package chronicler
