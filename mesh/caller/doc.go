// Package caller sends HTTP requests over kept connections and tells exactly whether any byte of them has left.
package caller
