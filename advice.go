package lagoonlanding

// AdviceConfig holds the fields of an Advice.
type AdviceConfig struct {
	// Limit is the number of tasks per second that the backend server accepts from all daemons together, zero for no limit.
	Limit float64
	// LimitUnknown means that the backend server names a limit that cannot be read.
	LimitUnknown bool
	// Leaving means that the backend server is about to stop.
	Leaving bool
	// ServerLoad is the load that the backend server reports, the zero value for none.
	ServerLoad ServerLoad
}

// Advice is what a backend server says about itself in a response; the zero value means that there was no response.
type Advice struct {
	config  AdviceConfig
	isGiven bool
}

// NewAdvice returns the advice of a response with the given configuration.
func NewAdvice(config AdviceConfig) Advice { return Advice{config: config, isGiven: true} }

// IsGiven reports whether the backend server has responded.
func (advice Advice) IsGiven() bool { return advice.isGiven }

// IsLimitUnknown reports whether the backend server names a limit that cannot be read, so that the last one stays in force.
func (advice Advice) IsLimitUnknown() bool { return advice.config.LimitUnknown }

// IsLeaving reports whether the backend server is about to stop.
func (advice Advice) IsLeaving() bool { return advice.config.Leaving }

// Limit returns the number of tasks per second that the backend server accepts from all daemons together, zero for no limit.
func (advice Advice) Limit() float64 { return advice.config.Limit }

// ServerLoad returns the load that the backend server reports, the zero value for none.
func (advice Advice) ServerLoad() ServerLoad { return advice.config.ServerLoad }
