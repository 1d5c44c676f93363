package publisher

import "fmt"

// Fault is one reason why a set is refused.
type Fault struct {
	object  string
	field   string
	problem string
}

// NewFault returns the fault of an object's field; field is empty if the object as a whole is at fault.
func NewFault(object, field, problem string) Fault {
	return Fault{object: object, field: field, problem: problem}
}

// Object returns the kind and name of the object, such as service.archive.
func (fault Fault) Object() string { return fault.object }

// Field returns the name of the field, empty if the object as a whole is at fault.
func (fault Fault) Field() string { return fault.field }

// Problem returns what is wrong.
func (fault Fault) Problem() string { return fault.problem }

// Error returns the object, the field and the problem.
func (fault Fault) Error() string {
	if fault.field == "" {
		return fmt.Sprintf("%s: %s", fault.object, fault.problem)
	}
	return fmt.Sprintf("%s: %s: %s", fault.object, fault.field, fault.problem)
}
