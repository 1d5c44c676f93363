package lagoonlanding

import (
	"io"
	"net/http"
	"time"
)

// AnswerConfig holds the parts of an Answer.
type AnswerConfig struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end fields.
	Header http.Header
	// Body streams the body; whoever takes the answer closes it.
	Body io.ReadCloser
	// BodyLength is the length of the body, -1 if it is not known.
	BodyLength int64
}

// Answer is a backend server's answer whose body streams through the fleet.
type Answer struct {
	config AnswerConfig
}

// NewAnswer returns the answer that the configuration describes.
func NewAnswer(config AnswerConfig) Answer { return Answer{config: config} }

// Status returns the HTTP status.
func (answer Answer) Status() int { return answer.config.Status }

// Header returns the end-to-end fields.
func (answer Answer) Header() http.Header { return answer.config.Header }

// Body returns the stream of the body.
func (answer Answer) Body() io.ReadCloser { return answer.config.Body }

// BodyLength returns the length of the body, -1 if it is not known.
func (answer Answer) BodyLength() int64 { return answer.config.BodyLength }

// WithBody returns the answer with another stream of its body.
func (answer Answer) WithBody(body io.ReadCloser) Answer {
	answer.config.Body = body
	return answer
}

// ResultConfig holds the parts of a Result.
type ResultConfig struct {
	// Outcome says what became of the task.
	Outcome Outcome
	// Reason says why there is no answer.
	Reason Reason
	// RetryAt is when a further try may succeed; zero if nobody can tell.
	RetryAt time.Time
	// Answer is the backend server's answer; it is set if and only if the outcome is OutcomeAnswered.
	Answer Answer
	// Load is what the daemon beside the backend server tells of it.
	Load Load
	// Reached says that a backend server got the task, even if it did not run it.
	Reached bool
}

// Result is what became of a task.
type Result struct {
	config ResultConfig
}

// NewResult returns the result that the configuration describes.
func NewResult(config ResultConfig) Result { return Result{config: config} }

// NotRun returns the result of a task that no backend server has got.
func NotRun(reason Reason, retryAt time.Time) Result {
	return NewResult(ResultConfig{Outcome: OutcomeNotRun, Reason: reason, RetryAt: retryAt})
}

// MayHaveRun returns the result of a task whose answer did not come.
func MayHaveRun(reason Reason) Result {
	return NewResult(ResultConfig{Outcome: OutcomeUnknown, Reason: reason, Reached: true})
}

// Outcome says what became of the task.
func (result Result) Outcome() Outcome { return result.config.Outcome }

// Reason says why there is no answer.
func (result Result) Reason() Reason { return result.config.Reason }

// RetryAt returns when a further try may succeed, zero if nobody can tell.
func (result Result) RetryAt() time.Time { return result.config.RetryAt }

// Answer returns the backend server's answer.
func (result Result) Answer() Answer { return result.config.Answer }

// Load returns what the daemon beside the backend server tells of it.
func (result Result) Load() Load { return result.config.Load }

// IsReached reports whether a backend server got the task.
func (result Result) IsReached() bool { return result.config.Reached }

// With returns the result with changes to its configuration.
func (result Result) With(change func(config *ResultConfig)) Result {
	change(&result.config)
	return result
}

// LoadConfig holds the parts of a Load.
type LoadConfig struct {
	// Waiting and Running count the tasks at the backend server.
	Waiting, Running int
	// Slots is how many tasks the backend server runs at once.
	Slots int
	// Mean is how long a task takes there on average.
	Mean time.Duration
	// Open says that the backend server takes tasks.
	Open bool
}

// Load is how busy a backend server is.
type Load struct {
	config LoadConfig
}

// NewLoad returns the load that the configuration describes.
func NewLoad(config LoadConfig) Load { return Load{config: config} }

// Waiting returns how many tasks wait for the backend server.
func (load Load) Waiting() int { return load.config.Waiting }

// Running returns how many tasks the backend server runs.
func (load Load) Running() int { return load.config.Running }

// Slots returns how many tasks the backend server runs at once; zero if nothing is known.
func (load Load) Slots() int { return load.config.Slots }

// Mean returns how long a task takes on average.
func (load Load) Mean() time.Duration { return load.config.Mean }

// IsOpen reports whether the backend server takes tasks.
func (load Load) IsOpen() bool { return load.config.Open }
