// Package timekeeper tells the time of this process.
package timekeeper
