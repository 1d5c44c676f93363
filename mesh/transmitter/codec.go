package transmitter

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// The header fields of messages between daemons.
const (
	// headerTask contains the metadata of a task.
	headerTask = "Lagoonlanding-Task"
	// headerResult contains the result of a task.
	headerResult = "Lagoonlanding-Result"
	// headerCompactTask contains the metadata of a task in its compact form, apart from the names.
	headerCompactTask = "Lagoonlanding-T"
	// The ID, the shard key, the service, the caller and the route of a task in its compact form have fields of their own: most of them
	// repeat, so the header compression replaces them.
	headerID       = "Lagoonlanding-I"
	headerShardKey = "Lagoonlanding-K"
	headerService  = "Lagoonlanding-S"
	headerCaller   = "Lagoonlanding-C"
	headerRoute    = "Lagoonlanding-P"
	// headerWorkspace contains the workspace of a task in its compact form; it is missing if there is none, and an earlier release ignores it.
	headerWorkspace = "Lagoonlanding-W"
	// headerCompactResult contains the result of a task in its compact form.
	headerCompactResult = "Lagoonlanding-R"
)

// taskMetadata holds the fields of a task apart from the client's HTTP request; times are relative to the time of sending.
type taskMetadata struct {
	ID          string `json:"i"`
	DeadlineMS  int64  `json:"d"`
	ObjectiveMS int64  `json:"o"`
	ShardKey    int    `json:"k"`
	Caller      string `json:"c"`
	Service     string `json:"s"`
	Route       string `json:"r"`
	Priority    int    `json:"p"`
	Repeated    bool   `json:"a,omitempty"`
	AtMostOnce  bool   `json:"n,omitempty"`
	// Workspace and Relayed are missing in the tasks of an earlier release; relayed tasks are sent only to daemons that answer quota reports.
	Workspace string `json:"w,omitempty"`
	Relayed   bool   `json:"f,omitempty"`
	// Precedence is missing in the tasks of an earlier release.
	Precedence lagoonlanding.Precedence `json:"e,omitempty"`
}

var _ lagoonlanding.Message[lagoonlanding.TaskConfig] = taskMetadata{}

func newTaskMetadata(now time.Time, task lagoonlanding.Task) taskMetadata {
	return taskMetadata{
		ID: task.ID(), DeadlineMS: task.Deadline().Sub(now).Milliseconds(), ObjectiveMS: task.Objective().Sub(now).Milliseconds(),
		ShardKey: task.ShardKey(), Caller: task.Caller(), Service: task.Service(), Route: task.Route(), Priority: task.Priority(),
		Repeated: task.IsRepeated(), AtMostOnce: task.IsAtMostOnce(), Workspace: task.Workspace(), Relayed: task.IsRelayed(), Precedence: task.Precedence(),
	}
}

// Value returns the fields with absolute times, for a receiver whose clock shows now.
func (taskmetadata taskMetadata) Value(now time.Time) (lagoonlanding.TaskConfig, error) {
	if taskmetadata.ID == "" || taskmetadata.Service == "" {
		return lagoonlanding.TaskConfig{}, fmt.Errorf("task has no ID or no service")
	}
	return lagoonlanding.TaskConfig{
		ID: taskmetadata.ID, Received: now, Deadline: now.Add(time.Duration(taskmetadata.DeadlineMS) * time.Millisecond),
		Objective: now.Add(time.Duration(taskmetadata.ObjectiveMS) * time.Millisecond), ShardKey: taskmetadata.ShardKey, Caller: taskmetadata.Caller,
		Service: taskmetadata.Service, Route: taskmetadata.Route, Priority: taskmetadata.Priority, Repeated: taskmetadata.Repeated,
		AtMostOnce: taskmetadata.AtMostOnce, Workspace: taskmetadata.Workspace, Relayed: taskmetadata.Relayed, Precedence: taskmetadata.Precedence,
	}, nil
}

// taskHeaders are the header fields that describe a task to another daemon.
var taskHeaders = []string{headerTask, headerCompactTask, headerID, headerShardKey, headerService, headerCaller, headerRoute, headerWorkspace}

// removeTaskHeaders removes the header fields that describe a task: a client that sends them must not pass for a daemon.
func removeTaskHeaders(header http.Header) {
	for _, name := range taskHeaders {
		delete(header, name)
	}
}

// resultMetadata holds the fields of a result apart from the backend server's answer.
type resultMetadata struct {
	Outcome       lagoonlanding.Outcome `json:"o"`
	Reason        lagoonlanding.Reason  `json:"r,omitempty"`
	RetryMS       int64                 `json:"t,omitempty"`
	Delivered     bool                  `json:"a,omitempty"`
	Waiting       int                   `json:"w,omitempty"`
	Running       int                   `json:"n,omitempty"`
	Slots         int                   `json:"s,omitempty"`
	MeanRunTimeMS int64                 `json:"m,omitempty"`
	Open          bool                  `json:"u,omitempty"`
	// SlowdownPercent and Level are missing in the results of an earlier release.
	SlowdownPercent int64  `json:"x,omitempty"`
	Level           uint32 `json:"l,omitempty"`
}

var _ lagoonlanding.Message[lagoonlanding.ResultConfig] = resultMetadata{}

func newResultMetadata(now time.Time, result lagoonlanding.Result) resultMetadata {
	metadata := resultMetadata{
		Outcome: result.Outcome(), Reason: result.Reason(), Delivered: result.IsDelivered(),
		Waiting: result.Load().Waiting(), Running: result.Load().Running(), Slots: result.Load().Slots(),
		MeanRunTimeMS: result.Load().MeanRunTime().Milliseconds(), Open: result.Load().IsOpen(),
		SlowdownPercent: int64(math.Round(result.Load().Slowdown() * 100)), Level: uint32(result.Load().Level()),
	}
	if !result.RetryAt().IsZero() {
		metadata.RetryMS = max(result.RetryAt().Sub(now).Milliseconds(), 1)
	}
	return metadata
}

// Value returns the fields with absolute times, for a receiver whose clock shows now.
func (resultmetadata resultMetadata) Value(now time.Time) (lagoonlanding.ResultConfig, error) {
	switch resultmetadata.Outcome {
	case lagoonlanding.OutcomeAnswered, lagoonlanding.OutcomeNotRun, lagoonlanding.OutcomeUnknown:
	default:
		return lagoonlanding.ResultConfig{}, fmt.Errorf("unknown outcome %d", resultmetadata.Outcome)
	}
	config := lagoonlanding.ResultConfig{
		Outcome: resultmetadata.Outcome, Reason: resultmetadata.Reason, Delivered: resultmetadata.Delivered,
		Load: lagoonlanding.NewLoad(lagoonlanding.LoadConfig{
			Waiting: resultmetadata.Waiting, Running: resultmetadata.Running, Slots: resultmetadata.Slots,
			MeanRunTime: time.Duration(resultmetadata.MeanRunTimeMS) * time.Millisecond, Open: resultmetadata.Open,
			Slowdown: float64(resultmetadata.SlowdownPercent) / 100, Level: lagoonlanding.AdmissionLevel(resultmetadata.Level),
		}),
	}
	if resultmetadata.RetryMS > 0 {
		config.RetryAt = now.Add(time.Duration(resultmetadata.RetryMS) * time.Millisecond)
	}
	return config, nil
}

// encodeHeader sets a header field to the JSON encoding of the metadata.
func encodeHeader[T any](header http.Header, field string, metadata T) error {
	encoded, err := json.Marshal(metadata)
	if err != nil {
		return fmt.Errorf("encode %s: %w", field, err)
	}
	header.Set(field, string(encoded))
	return nil
}

// decodeHeader decodes the metadata in a header field and removes the field.
func decodeHeader[V any, T lagoonlanding.Message[V]](header http.Header, field string, now time.Time) (V, error) {
	var metadata T
	var zero V
	if err := json.Unmarshal([]byte(header.Get(field)), &metadata); err != nil {
		return zero, fmt.Errorf("decode %s: %w", field, err)
	}
	header.Del(field)
	return metadata.Value(now)
}
