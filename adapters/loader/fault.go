package loader

import (
	"fmt"
	"strings"
)

// Fault says what is wrong with one setting.
type Fault struct {
	file    string
	line    int
	key     string
	problem string
}

// File returns the name of the settings file.
func (fault Fault) File() string { return fault.file }

// Line returns the line of the setting, zero if the file lacks it.
func (fault Fault) Line() int { return fault.line }

// Key returns the name of the setting.
func (fault Fault) Key() string { return fault.key }

// Error names file, line, key and problem.
func (fault Fault) Error() string {
	place := fault.file
	if fault.line > 0 {
		place = fmt.Sprintf("%s:%d", fault.file, fault.line)
	}
	if fault.key == "" {
		return fmt.Sprintf("%s: %s", place, fault.problem)
	}
	return fmt.Sprintf("%s: %s: %s", place, fault.key, fault.problem)
}

// Faults are all that is wrong with a settings file.
type Faults []Fault

// Error returns one line for each fault.
func (faults Faults) Error() string {
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}
