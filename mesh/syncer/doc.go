// Package syncer runs the control thread and synchronizes the control state with the store.
package syncer
