// Package scheduler holds the orders in which waiting requests take the slots of a backend server.
package scheduler
