package limiter

// Result says how a request left its slot.
type Result uint8

// The ways in which a request leaves its slot.
const (
	// Served says that the backend server answered.
	Served Result = iota + 1
	// Failed says that the backend server answered with an error of its own.
	Failed
	// Shed says that the backend server refused the request because it was busy.
	Shed
	// Reset says that the connection broke, as when the backend server crashes or restarts.
	Reset
	// Unreachable says that no connection could be made, so that the backend server is down and will be cold.
	Unreachable
	// Unsent says that the request never left this process.
	Unsent
	// Cancelled says that the caller or its deadline ended the request before the answer.
	Cancelled
)
