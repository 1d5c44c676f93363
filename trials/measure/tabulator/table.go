package tabulator

import (
	"fmt"
	"io"
	"strings"
)

// Table holds the measures of several ways, the baseline first.
type Table struct {
	title   string
	columns []string
	rows    []row
}

type row struct {
	way    string
	values []float64
}

// NewTable returns a table with a column for each measure, named with its unit.
func NewTable(title string, columns ...string) *Table {
	return &Table{title: title, columns: columns}
}

// Add appends the measures of a way.
func (table *Table) Add(way string, values ...float64) {
	table.rows = append(table.rows, row{way: way, values: values})
}

// Value returns a measure of a way, for checks.
func (table *Table) Value(way, column string) (float64, bool) {
	for _, row := range table.rows {
		for index, name := range table.columns {
			if row.way == way && name == column {
				return row.values[index], true
			}
		}
	}
	return 0, false
}

// Write prints the table; behind each measure stands its ratio to that of the first row.
func (table *Table) Write(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "\n%s\n\n| way | %s |\n|%s\n", table.title, strings.Join(table.columns, " | "), strings.Repeat("---|", len(table.columns)+1))
	for index, row := range table.rows {
		cells := make([]string, len(row.values))
		for column, value := range row.values {
			cells[column] = number(value)
			if base := table.rows[0].values[column]; index > 0 && base != 0 {
				cells[column] += fmt.Sprintf(" (%.2f)", value/base)
			}
		}
		fmt.Fprintf(&text, "| %s | %s |\n", row.way, strings.Join(cells, " | "))
	}
	_, err := io.WriteString(out, text.String())
	return err
}

func number(value float64) string {
	if value == float64(int64(value)) {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.2f", value)
}
