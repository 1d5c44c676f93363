package lagoonlanding

import (
	"io"
	"net/http"
	"time"
)

// AnswerConfig holds the fields of an Answer.
type AnswerConfig struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end header fields.
	Header http.Header
	// Body streams the body; the receiver of the answer closes it.
	Body io.ReadCloser
	// BodyLength is the length of the body in bytes, -1 if it is unknown.
	BodyLength int64
}

// Answer is a backend server's response with a streamed body.
type Answer struct {
	config AnswerConfig
}

// NewAnswer returns an answer with the given configuration.
func NewAnswer(config AnswerConfig) Answer { return Answer{config: config} }

// Status returns the HTTP status.
func (answer Answer) Status() int { return answer.config.Status }

// Header returns the end-to-end header fields.
func (answer Answer) Header() http.Header { return answer.config.Header }

// Body returns the body stream.
func (answer Answer) Body() io.ReadCloser { return answer.config.Body }

// BodyLength returns the length of the body in bytes, -1 if it is unknown.
func (answer Answer) BodyLength() int64 { return answer.config.BodyLength }

// WithBody returns a copy with another body stream.
func (answer Answer) WithBody(body io.ReadCloser) Answer {
	answer.config.Body = body
	return answer
}

// ResultConfig holds the fields of a Result.
type ResultConfig struct {
	// Outcome is the execution status of the task.
	Outcome Outcome
	// Reason is the cause if there is no answer.
	Reason Reason
	// RetryAt is when a retry may succeed; the zero time if that is unknown.
	RetryAt time.Time
	// Answer is the backend server's response; it is set if and only if the outcome is OutcomeAnswered.
	Answer Answer
	// Load is the backend server's load as reported by its daemon.
	Load Load
	// Advice is what the backend server says about itself; only its own daemon receives it.
	Advice Advice
	// Delivered means that a backend server received the task, even if it did not run it.
	Delivered bool
}

// Result is the outcome of a task with the answer, if there is one.
type Result struct {
	config ResultConfig
}

// NewResult returns a result with the given configuration.
func NewResult(config ResultConfig) Result { return Result{config: config} }

// NotRun returns the result of a task that no backend server has received.
func NotRun(reason Reason, retryAt time.Time) Result {
	return NewResult(ResultConfig{Outcome: OutcomeNotRun, Reason: reason, RetryAt: retryAt})
}

// MayHaveRun returns the result of a task that was sent but not answered.
func MayHaveRun(reason Reason) Result {
	return NewResult(ResultConfig{Outcome: OutcomeUnknown, Reason: reason, Delivered: true})
}

// Outcome returns the execution status of the task.
func (result Result) Outcome() Outcome { return result.config.Outcome }

// Reason returns the cause if there is no answer.
func (result Result) Reason() Reason { return result.config.Reason }

// RetryAt returns when a retry may succeed, the zero time if that is unknown.
func (result Result) RetryAt() time.Time { return result.config.RetryAt }

// Answer returns the backend server's response.
func (result Result) Answer() Answer { return result.config.Answer }

// Load returns the backend server's load as reported by its daemon.
func (result Result) Load() Load { return result.config.Load }

// Advice returns what the backend server says about itself.
func (result Result) Advice() Advice { return result.config.Advice }

// IsDelivered reports whether a backend server received the task.
func (result Result) IsDelivered() bool { return result.config.Delivered }

// With returns a copy with the given changes to its configuration.
func (result Result) With(change func(config *ResultConfig)) Result {
	change(&result.config)
	return result
}

// LoadConfig holds the fields of a Load.
type LoadConfig struct {
	// Waiting and Running are the numbers of queued and running tasks at the backend server.
	Waiting, Running int
	// Slots is the number of tasks that the backend server runs concurrently.
	Slots int
	// MeanRunTime is the average run time of a task.
	MeanRunTime time.Duration
	// Limit is the number of tasks per second that the backend server accepts, zero for no limit.
	Limit float64
	// Open means that the backend server accepts tasks.
	Open bool
	// Slowdown is how many times as long as usual work takes on the backend server's machine now; zero counts as one.
	Slowdown float64
	// Level limits the admission ranks that the daemon admits; zero means no limit.
	Level AdmissionLevel
}

// Load is the load of a backend server.
type Load struct {
	config LoadConfig
}

// NewLoad returns a load with the given configuration.
func NewLoad(config LoadConfig) Load { return Load{config: config} }

// Waiting returns the number of queued tasks.
func (load Load) Waiting() int { return load.config.Waiting }

// Running returns the number of running tasks.
func (load Load) Running() int { return load.config.Running }

// Slots returns the number of tasks that the backend server runs concurrently, zero if it is unknown.
func (load Load) Slots() int { return load.config.Slots }

// MeanRunTime returns the average run time of a task.
func (load Load) MeanRunTime() time.Duration { return load.config.MeanRunTime }

// Limit returns the number of tasks per second that the backend server accepts, zero for no limit.
func (load Load) Limit() float64 { return load.config.Limit }

// IsOpen reports whether the backend server accepts tasks.
func (load Load) IsOpen() bool { return load.config.Open }

// Slowdown returns how many times as long as usual work takes on the backend server's machine now.
func (load Load) Slowdown() float64 {
	if load.config.Slowdown <= 0 {
		return 1
	}
	return load.config.Slowdown
}

// Level returns the admission level of the backend server's daemon, zero if it admits all ranks.
func (load Load) Level() AdmissionLevel { return load.config.Level }
