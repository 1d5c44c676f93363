// Package chronicler reads the journal of the users' bench, which is not the command in trials/bench, and shows the worth of each standard day over its scores.
package chronicler
