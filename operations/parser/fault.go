package parser

import (
	"cmp"
	"fmt"
	"slices"

	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// Fault is one reason why the sources are invalid, with its location.
type Fault struct {
	file  string
	line  int
	fault publisher.Fault
}

// NewFault returns the fault at a line of a file; line is zero if the fault belongs to no line.
func NewFault(file string, line int, fault publisher.Fault) Fault {
	return Fault{file: file, line: line, fault: fault}
}

// File returns the name of the source.
func (fault Fault) File() string { return fault.file }

// Line returns the line number, counted from one, zero if the fault belongs to no line.
func (fault Fault) Line() int { return fault.line }

// Object returns the kind and name of the object.
func (fault Fault) Object() string { return fault.fault.Object() }

// Field returns the name of the field.
func (fault Fault) Field() string { return fault.fault.Field() }

// Problem returns the description of the fault.
func (fault Fault) Problem() string { return fault.fault.Problem() }

// Error returns the location and the problem.
func (fault Fault) Error() string {
	if fault.file == "" {
		return fault.fault.Error()
	}
	return fmt.Sprintf("%s:%d: %s", fault.file, fault.line, fault.fault.Error())
}

func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.file, b.file), cmp.Compare(a.line, b.line), cmp.Compare(a.Error(), b.Error()))
	})
}
