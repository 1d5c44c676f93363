// Package quarantiner finds the requests that crash backend servers and keeps them from crashing more.
package quarantiner
