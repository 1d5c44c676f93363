package lagoonlanding

// ServerLoadConfig holds the fields of a ServerLoad.
type ServerLoadConfig struct {
	// Running and Waiting are the numbers of tasks that the backend server runs and queues.
	Running, Waiting int
	// Slots is the number of tasks that the backend server runs concurrently.
	Slots int
	// Slowdown is how many times as long as usual work takes on the backend server's machine now; zero counts as one.
	Slowdown float64
}

// ServerLoad is the load that a backend server reports about itself in a response.
type ServerLoad struct {
	config ServerLoadConfig
}

// NewServerLoad returns a load with the given configuration.
func NewServerLoad(config ServerLoadConfig) ServerLoad { return ServerLoad{config: config} }

// IsZero reports whether the backend server has reported no load.
func (serverload ServerLoad) IsZero() bool { return serverload.config.Slots == 0 }

// Running returns the number of tasks that the backend server runs.
func (serverload ServerLoad) Running() int { return serverload.config.Running }

// Waiting returns the number of tasks that the backend server queues.
func (serverload ServerLoad) Waiting() int { return serverload.config.Waiting }

// Slots returns the number of tasks that the backend server runs concurrently, zero if it has reported no load.
func (serverload ServerLoad) Slots() int { return serverload.config.Slots }

// Slowdown returns how many times as long as usual work takes on the backend server's machine now.
func (serverload ServerLoad) Slowdown() float64 {
	if serverload.config.Slowdown <= 0 {
		return 1
	}
	return serverload.config.Slowdown
}

// AdmissionLevel is the number of admission ranks that a backend server's daemon admits under overload, counted from the most important one;
// zero means that all ranks are admitted.
type AdmissionLevel uint32
