package carrier

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// The fields of messages between daemons.
const (
	// headerTask carries what the daemon beside the backend server must know of a task.
	headerTask = "Lagoonlanding-Task"
	// headerResult carries what became of a task.
	headerResult = "Lagoonlanding-Result"
)

// taskTerms are the parts of a task beside the client's request; times are relative to the moment of sending.
type taskTerms struct {
	ID          string `json:"i"`
	DeadlineMS  int64  `json:"d"`
	ObjectiveMS int64  `json:"o"`
	ShardKey    int    `json:"k"`
	Caller      string `json:"c"`
	Service     string `json:"s"`
	Route       string `json:"r"`
	Rank        int    `json:"p"`
	Repeated    bool   `json:"a,omitempty"`
}

var _ lagoonlanding.Message[lagoonlanding.TaskConfig] = taskTerms{}

func newTaskTerms(now time.Time, task lagoonlanding.Task) taskTerms {
	return taskTerms{
		ID: task.ID(), DeadlineMS: task.Deadline().Sub(now).Milliseconds(), ObjectiveMS: task.Objective().Sub(now).Milliseconds(),
		ShardKey: task.ShardKey(), Caller: task.Caller(), Service: task.Service(), Route: task.Route(), Rank: task.Priority(),
		Repeated: task.IsRepeated(),
	}
}

// Value returns the parts for a receiver whose clock shows now.
func (taskterms taskTerms) Value(now time.Time) (lagoonlanding.TaskConfig, error) {
	if taskterms.ID == "" || taskterms.Service == "" {
		return lagoonlanding.TaskConfig{}, fmt.Errorf("a task without an ID or a service")
	}
	return lagoonlanding.TaskConfig{
		ID: taskterms.ID, Received: now, Deadline: now.Add(time.Duration(taskterms.DeadlineMS) * time.Millisecond),
		Objective: now.Add(time.Duration(taskterms.ObjectiveMS) * time.Millisecond), ShardKey: taskterms.ShardKey, Caller: taskterms.Caller,
		Service: taskterms.Service, Route: taskterms.Route, Priority: taskterms.Rank, Repeated: taskterms.Repeated,
	}, nil
}

// resultTerms are the parts of a result beside the backend server's answer.
type resultTerms struct {
	Outcome lagoonlanding.Outcome `json:"o"`
	Reason  lagoonlanding.Reason  `json:"r,omitempty"`
	RetryMS int64                 `json:"t,omitempty"`
	Reached bool                  `json:"a,omitempty"`
	Waiting int                   `json:"w,omitempty"`
	Running int                   `json:"n,omitempty"`
	Slots   int                   `json:"s,omitempty"`
	MeanMS  int64                 `json:"m,omitempty"`
	Open    bool                  `json:"u,omitempty"`
}

var _ lagoonlanding.Message[lagoonlanding.ResultConfig] = resultTerms{}

func newResultTerms(now time.Time, result lagoonlanding.Result) resultTerms {
	terms := resultTerms{
		Outcome: result.Outcome(), Reason: result.Reason(), Reached: result.IsDelivered(),
		Waiting: result.Load().Waiting(), Running: result.Load().Running(), Slots: result.Load().Slots(),
		MeanMS: result.Load().MeanRunTime().Milliseconds(), Open: result.Load().IsOpen(),
	}
	if !result.RetryAt().IsZero() {
		terms.RetryMS = max(result.RetryAt().Sub(now).Milliseconds(), 1)
	}
	return terms
}

// Value returns the parts for a receiver whose clock shows now.
func (resultterms resultTerms) Value(now time.Time) (lagoonlanding.ResultConfig, error) {
	switch resultterms.Outcome {
	case lagoonlanding.OutcomeAnswered, lagoonlanding.OutcomeNotRun, lagoonlanding.OutcomeUnknown:
	default:
		return lagoonlanding.ResultConfig{}, fmt.Errorf("unknown outcome %d", resultterms.Outcome)
	}
	config := lagoonlanding.ResultConfig{
		Outcome: resultterms.Outcome, Reason: resultterms.Reason, Delivered: resultterms.Reached,
		Load: lagoonlanding.NewLoad(lagoonlanding.LoadConfig{
			Waiting: resultterms.Waiting, Running: resultterms.Running, Slots: resultterms.Slots,
			MeanRunTime: time.Duration(resultterms.MeanMS) * time.Millisecond, Open: resultterms.Open,
		}),
	}
	if resultterms.RetryMS > 0 {
		config.RetryAt = now.Add(time.Duration(resultterms.RetryMS) * time.Millisecond)
	}
	return config, nil
}

// write puts the terms into a field of the header.
func write[T any](header http.Header, field string, terms T) error {
	encoded, err := json.Marshal(terms)
	if err != nil {
		return fmt.Errorf("encode %s: %w", field, err)
	}
	header.Set(field, string(encoded))
	return nil
}

// read takes the terms out of a field of the header.
func read[V any, T lagoonlanding.Message[V]](header http.Header, field string, now time.Time) (V, error) {
	var terms T
	var none V
	if err := json.Unmarshal([]byte(header.Get(field)), &terms); err != nil {
		return none, fmt.Errorf("decode %s: %w", field, err)
	}
	header.Del(field)
	return terms.Value(now)
}
