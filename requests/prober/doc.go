// Package prober watches whether the backend server beside the daemon still answers.
package prober
