// Package tabulator writes the results of experiments as tables.
package tabulator
