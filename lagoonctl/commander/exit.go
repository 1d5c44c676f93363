package commander

import "errors"

// The exit codes of lagoonctl.
const (
	// ExitDone says that the order is carried out.
	ExitDone = 0
	// ExitFailed says that the command was misused or that the daemon could not be asked; nothing was written.
	ExitFailed = 1
	// ExitFaulty says that the set has faults; nothing was written.
	ExitFaulty = 2
	// ExitDangerous says that the plan has dangers that were not accepted; nothing was written.
	ExitDangerous = 3
	// ExitOutrun says that another set was published first; nothing was written.
	ExitOutrun = 4
	// ExitPending says that the set is written but not yet known to be in force everywhere.
	ExitPending = 5
	// ExitUncertain says that answers were lost, so that the set may have been written.
	ExitUncertain = 6
)

// exitError ends the program with a code other than zero.
type exitError struct {
	code int
	err  error
}

// Error returns the cause, empty if the output says it already.
func (exiterror exitError) Error() string {
	if exiterror.err == nil {
		return ""
	}
	return exiterror.err.Error()
}

func exitCode(err error) int {
	var exit exitError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &exit):
		return exit.code
	}
	return ExitFailed
}

// verdictCodes are the exit codes of the verdicts on an order; a verdict that is not listed is a failure.
var verdictCodes = map[string]int{
	"in-force": ExitDone, "written": ExitDone, "unchanged": ExitDone, "faulty": ExitFaulty, "dangerous": ExitDangerous,
	"outrun": ExitOutrun, "pending": ExitPending, "not-written": ExitFailed, "uncertain": ExitUncertain,
}

func exitWith(code int) error {
	if code == ExitDone {
		return nil
	}
	return exitError{code: code}
}

func verdictCode(verdict string) int {
	if code, ok := verdictCodes[verdict]; ok {
		return code
	}
	return ExitFailed
}
