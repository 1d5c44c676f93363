// Package quarantiner detects requests that crash backend servers and prevents them from crashing further ones.
package quarantiner
