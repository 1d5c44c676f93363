// Package encoder converts domain types to and from the formats of the store and of the messages between daemons.
package encoder
