// Package prober checks the health of the backend server of this instance.
package prober
