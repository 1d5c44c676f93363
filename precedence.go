package lagoonlanding

// Precedence is how a client came back after a refusal; it orders tasks of the same priority.
type Precedence uint8

// The precedences of a task.
const (
	// PrecedenceNone is that of a task whose client has not been refused before.
	PrecedenceNone Precedence = iota
	// PrecedenceReturned is that of a task whose client was refused and has come back when told.
	PrecedenceReturned
	// PrecedenceImpatient is that of a task whose client was refused and has come back earlier than told.
	PrecedenceImpatient
)
