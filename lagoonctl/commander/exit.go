package commander

import "errors"

// The exit codes of lagoonctl.
const (
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means any other failure, such as invalid usage or a daemon or store that cannot be reached; nothing was written, unless the daemon's reply was lost.
	ExitFailed = 1
	// ExitFaulty means that the set has faults; nothing was written.
	ExitFaulty = 2
	// ExitDangerous means that the plan has dangers that were not accepted; nothing was written.
	ExitDangerous = 3
	// ExitOutrun means that another set was published first; nothing was written.
	ExitOutrun = 4
	// ExitPending means that the set is written but not yet confirmed to be in force everywhere.
	ExitPending = 5
	// ExitUncertain means that the store's replies were lost, so the set may have been written.
	ExitUncertain = 6
)

// exitError makes the program exit with a code other than zero.
type exitError struct {
	code int
	err  error
}

// Error returns the cause, empty if the output contains it already.
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

// verdictCodes maps the verdicts on a request to exit codes; any other verdict is a failure.
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
