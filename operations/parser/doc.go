// Package parser parses the set to publish from the operators' TOML files, and formats a set as TOML.
package parser
