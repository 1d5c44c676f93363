// Package syncer runs the control thread and keeps the control state and the store in step.
package syncer
