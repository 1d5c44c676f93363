// Package encoder turns the values of the router into the formats of the store and of the messages between daemons, and back.
package encoder
