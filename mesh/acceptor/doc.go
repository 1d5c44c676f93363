// Package acceptor runs tasks on the backend server beside the daemon, for whichever daemon they come from.
package acceptor
