// Package acceptor runs tasks of any daemon on the backend server beside this daemon.
package acceptor
