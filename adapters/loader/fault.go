package loader

import (
	"fmt"
	"strings"
)

// Fault describes an invalid setting.
type Fault struct {
	file    string
	line    int
	key     string
	problem string
}

// File returns the name of the settings file, or that the value comes from the command line or the environment.
func (fault Fault) File() string { return fault.file }

// Line returns the line number of the setting, zero if it is not in the file.
func (fault Fault) Line() int { return fault.line }

// Key returns the name of the setting.
func (fault Fault) Key() string { return fault.key }

// Error returns the file, line, key and problem as one line.
func (fault Fault) Error() string {
	location := fault.file
	if fault.line > 0 {
		location = fmt.Sprintf("%s:%d", fault.file, fault.line)
	}
	if fault.key == "" {
		return fmt.Sprintf("%s: %s", location, fault.problem)
	}
	return fmt.Sprintf("%s: %s: %s", location, fault.key, fault.problem)
}

// Faults lists all invalid settings.
type Faults []Fault

// Error returns one line per fault.
func (faults Faults) Error() string {
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}
