// Package encoder holds the JSON forms of the administration API, for its server and its callers.
package encoder
