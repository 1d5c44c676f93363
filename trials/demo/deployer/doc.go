// Package deployer describes the deployments of the demonstration and starts their processes.
package deployer
