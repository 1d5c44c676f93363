// Package transmitter implements the HTTP protocol between daemons: tasks, relayed store changes and relayed store calls.
package transmitter
