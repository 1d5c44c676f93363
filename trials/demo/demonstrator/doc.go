// Package demonstrator runs the demonstration: load, the loss of an owner, and an availability zone that is taken out of service and put back.
package demonstrator
