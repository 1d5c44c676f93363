// Package logger writes structured log lines through a queue that never blocks the caller.
package logger
