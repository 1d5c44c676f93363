// Package encoder turns entries and listings of the platform's store into JSON and back.
package encoder
