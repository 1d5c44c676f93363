// Package checker compares the outcomes reported to callers with the run logs of the backend servers.
package checker
