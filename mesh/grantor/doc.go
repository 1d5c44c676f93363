// Package grantor decides what the backend server beside the daemon is told to hold, and when it holds nothing any more.
package grantor
