// Package carrier takes tasks from the daemon of a client to the daemon beside a backend server, over HTTP.
package carrier
