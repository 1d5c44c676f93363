// Command standin plays the cases of the review: it starts daemons as the deployment file says, beside stand-ins for the platform's store, the
// backend servers and the clients, and checks one rule.
package main
