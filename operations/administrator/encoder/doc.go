// Package encoder holds the JSON messages of the administration API, for its server and its clients.
package encoder
