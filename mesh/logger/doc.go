// Package logger writes structured lines to an output without ever blocking those who log.
package logger
