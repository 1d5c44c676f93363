package limiter

// Result is how a request ended at the backend server.
type Result uint8

// The results of requests.
const (
	// Served means that the backend server answered.
	Served Result = iota + 1
	// Failed means that the backend server answered with a server error.
	Failed
	// Shed means that the backend server refused the request because it was overloaded.
	Shed
	// ConnectionLost means that the connection was lost, as when the backend server crashes or restarts.
	ConnectionLost
	// Unreachable means that no connection could be made, so the backend server is down and will be cold afterwards.
	Unreachable
	// Unsent means that the request was never sent.
	Unsent
	// Cancelled means that the request was cancelled or passed its deadline before the backend server answered.
	Cancelled
)
