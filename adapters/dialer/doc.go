// Package dialer opens TCP connections on which a reset is never read as the end of a stream.
package dialer
