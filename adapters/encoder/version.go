package encoder

import "fmt"

// FormatVersion is the newest version of the stored formats that this program reads and the one that it writes.
const FormatVersion = 1

// VersionError says that a value was written in a format that this program does not read.
type VersionError struct {
	subject string
	found   int
}

// NewVersionError returns the error for the subject that was found in the given format version.
func NewVersionError(subject string, found int) *VersionError {
	return &VersionError{subject: subject, found: found}
}

// Found returns the version of the format in which the value was written.
func (versionerror *VersionError) Found() int { return versionerror.found }

// Error names the subject, its version and the version that is supported.
func (versionerror *VersionError) Error() string {
	return fmt.Sprintf("%s is in format version %d, this program reads version %d only",
		versionerror.subject, versionerror.found, FormatVersion)
}
