// Package tabulator formats the results of experiments as Markdown tables.
package tabulator
