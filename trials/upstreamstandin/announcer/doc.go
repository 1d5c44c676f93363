// Package announcer announces a backend server to its daemon.
package announcer
