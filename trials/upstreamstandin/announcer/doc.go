// Package announcer tells the daemon beside a backend server of it.
package announcer
