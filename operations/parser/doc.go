// Package parser reads the published set from the operators' TOML files, and writes it as TOML.
package parser
