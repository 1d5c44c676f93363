package receiver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/invoker"
	"lagoonlanding.example/upstreamstandin/simulator"
)

// runJSON is the JSON format of a run in the run log and in the list of recent runs.
type runJSON struct {
	RequestID      string    `json:"request-id"`
	IdempotencyKey string    `json:"idempotency-key"`
	Key            string    `json:"key"`
	Tenant         string    `json:"tenant"`
	Group          string    `json:"group"`
	Shard          int       `json:"shard"`
	Token          uint64    `json:"token"`
	Server         string    `json:"server"`
	Region         string    `json:"region"`
	Started        time.Time `json:"started"`
}

func (receiver *Receiver) newRunJSON(run simulator.Run) runJSON {
	attempt := run.Attempt()
	wire := runJSON{
		RequestID:      attempt.RequestID,
		IdempotencyKey: attempt.IdempotencyKey,
		Key:            attempt.Key,
		Tenant:         attempt.Tenant,
		Server:         receiver.config.Name,
		Region:         receiver.config.Region,
		Started:        run.Started(),
	}
	if !attempt.Fence.IsZero() {
		wire.Group, wire.Shard, wire.Token = attempt.Fence.Group().String(), attempt.Fence.Shard(), attempt.Fence.Token()
	}
	return wire
}

// logRun appends the run to the run log before the run is answered, so that the log is complete even if the process is killed.
func (receiver *Receiver) logRun(run simulator.Run) {
	if receiver.config.Runs == nil {
		return
	}
	line, err := json.Marshal(receiver.newRunJSON(run))
	if err != nil {
		return
	}
	_, _ = receiver.config.Runs.Write(append(line, '\n'))
}

func (receiver *Receiver) runs(writer http.ResponseWriter, _ *http.Request) {
	var runs []simulator.Run
	receiver.do(func(server *simulator.Server) { runs = server.Runs() })
	encoder := json.NewEncoder(writer)
	for _, run := range runs {
		if encoder.Encode(receiver.newRunJSON(run)) != nil {
			return
		}
	}
}

func (receiver *Receiver) report(writer http.ResponseWriter, _ *http.Request) {
	var report lagoonlanding.UpstreamReport
	receiver.do(func(server *simulator.Server) { report = server.Report(time.Now()) })
	body, err := invoker.EncodeReport(report)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body)
}

func (receiver *Receiver) overloads(writer http.ResponseWriter, _ *http.Request) {
	var overloads int
	receiver.do(func(server *simulator.Server) { overloads = server.Overloads() })
	_, _ = fmt.Fprintln(writer, overloads)
}

func (receiver *Receiver) drain(_ http.ResponseWriter, _ *http.Request) {
	receiver.do(func(server *simulator.Server) { server.SetDraining(true) })
}

func (receiver *Receiver) cold(_ http.ResponseWriter, _ *http.Request) {
	receiver.do(func(server *simulator.Server) { server.ResetWarmUp() })
}

func (receiver *Receiver) slow(writer http.ResponseWriter, request *http.Request) {
	factor, err := strconv.ParseFloat(request.FormValue("factor"), 64)
	if err != nil || !(factor > 0) {
		http.Error(writer, "the factor is not above zero", http.StatusBadRequest)
		return
	}
	receiver.do(func(server *simulator.Server) { server.SetSlowdown(factor) })
}
