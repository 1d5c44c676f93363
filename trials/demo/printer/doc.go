// Package printer prints the progress and the tables of the demonstration.
package printer
