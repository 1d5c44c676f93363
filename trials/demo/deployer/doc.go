// Package deployer describes the deployments of the demonstration and brings their processes up.
package deployer
