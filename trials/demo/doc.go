// Command demo starts a deployment on loopback, sends load, injects faults and checks the outcome of each request.
package main
