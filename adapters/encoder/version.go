package encoder

import "fmt"

// FormatVersion is the version of the stored formats that this program reads and writes.
const FormatVersion = 1

// VersionError means that a stored value has a format version that this program does not support.
type VersionError struct {
	name  string
	found int
}

// NewVersionError returns the error for the named value with the format version that was found.
func NewVersionError(name string, found int) *VersionError {
	return &VersionError{name: name, found: found}
}

// Found returns the format version of the value.
func (versionerror *VersionError) Found() int { return versionerror.found }

// Error returns a message with the name, the version that was found and the supported version.
func (versionerror *VersionError) Error() string {
	return fmt.Sprintf("%s has format version %d; only version %d is supported",
		versionerror.name, versionerror.found, FormatVersion)
}
