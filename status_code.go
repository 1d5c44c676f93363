package lagoonlanding

// The HTTP statuses of final responses; a status outside this range is not an answer.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// IsFinalStatus reports whether an HTTP status is that of a final response.
func IsFinalStatus(status int) bool { return status >= minFinalStatus && status <= maxFinalStatus }
