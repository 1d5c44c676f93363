// Package budgeter decides what a process may hold in memory for its clients, servers and peers.
//
// The load that it handles: thousands of clients that read or send slowly, and answers, bodies and heads without end, in a process that is
// terminated when it exceeds its memory limit. It knows no sockets: it counts bytes, and calls the owner of an account that is to be ended.
package budgeter
