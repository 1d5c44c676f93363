package tabulator

import (
	"fmt"
	"io"
	"strings"
)

// Table holds the measurements of several variants with the baseline in the first row.
type Table struct {
	title   string
	columns []string
	rows    []row
}

type row struct {
	variant string
	values  []float64
}

// NewTable returns a table with a column for each measurement, whose name includes the unit.
func NewTable(title string, columns ...string) *Table {
	return &Table{title: title, columns: columns}
}

// Add appends a row with the measurements of a variant.
func (table *Table) Add(variant string, values ...float64) {
	table.rows = append(table.rows, row{variant: variant, values: values})
}

// Value returns a measurement of a variant; tests use it.
func (table *Table) Value(variant, column string) (float64, bool) {
	for _, row := range table.rows {
		for index, name := range table.columns {
			if row.variant == variant && name == column {
				return row.values[index], true
			}
		}
	}
	return 0, false
}

// Write prints the table; each measurement is followed by its ratio to the first row.
func (table *Table) Write(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "\n%s\n\n| variant | %s |\n|%s\n", table.title, strings.Join(table.columns, " | "), strings.Repeat("---|", len(table.columns)+1))
	for index, row := range table.rows {
		cells := make([]string, len(row.values))
		for column, value := range row.values {
			cells[column] = formatNumber(value)
			if baseline := table.rows[0].values[column]; index > 0 && baseline != 0 {
				cells[column] += fmt.Sprintf(" (%.2f)", value/baseline)
			}
		}
		fmt.Fprintf(&text, "| %s | %s |\n", row.variant, strings.Join(cells, " | "))
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// formatNumber omits the decimals of an integer.
func formatNumber(value float64) string {
	if value == float64(int64(value)) {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.2f", value)
}
