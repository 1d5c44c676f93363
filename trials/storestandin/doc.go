// Command storestandin stands in for the platform's key-value store in tests and demonstrations.
package main
