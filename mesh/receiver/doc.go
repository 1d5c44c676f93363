// Package receiver is an HTTP/1.1 server that runs requests which a client has sent ahead side by side, and answers them in order.
package receiver
