// Package framer encodes the heads of HTTP messages between daemons compactly, with header compression (HPACK, RFC 7541).
//
// A message is a head, preceded by its length and its number on the connection as unsigned varints, and a body with the framing of HTTP/1.1: a declared length, or chunks.
package framer
