// Package printer prints replies as tables for people or as JSON for programs.
package printer
