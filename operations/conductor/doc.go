// Package conductor executes the requests of operators: it checks, plans and publishes sets, and takes zones out of service and back in.
package conductor
