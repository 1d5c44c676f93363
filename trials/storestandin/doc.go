// Command storestandin is a stand-in for the platform's key-value store, for tests and demonstrations.
package main
