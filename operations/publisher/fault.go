package publisher

import "fmt"

// Fault is one reason why a set is invalid.
type Fault struct {
	object  string
	field   string
	problem string
}

// NewFault returns a fault in a field of an object; field is empty if the fault is in the object as a whole.
func NewFault(object, field, problem string) Fault {
	return Fault{object: object, field: field, problem: problem}
}

// Object returns the kind and name of the object, such as service.archive.
func (fault Fault) Object() string { return fault.object }

// Field returns the name of the field, empty if the fault is in the object as a whole.
func (fault Fault) Field() string { return fault.field }

// Problem returns the description of the fault.
func (fault Fault) Problem() string { return fault.problem }

// Error returns the object, the field and the problem.
func (fault Fault) Error() string {
	if fault.field == "" {
		return fmt.Sprintf("%s: %s", fault.object, fault.problem)
	}
	return fmt.Sprintf("%s: %s: %s", fault.object, fault.field, fault.problem)
}
