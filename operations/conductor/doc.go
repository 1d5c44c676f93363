// Package conductor carries out what operators order: it checks, plans and publishes sets and takes zones out and back.
package conductor
