package acceptor

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/quarantiner"
)

// quarantineTerm is when a request that crashes backend servers may come again; it stays refused for longer.
const quarantineTerm = 30 * time.Second

// suspectOf returns the task as the quarantine knows it: by its caller, method, host and target. The body passes as a stream and does not count.
func suspectOf(task lagoonlanding.Task) lagoonlanding.Request {
	return lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
		ID: task.ID(), Key: lagoonlanding.NewKey(task.Service(), "", task.Caller()), Method: task.Method(), Path: task.Host() + task.Target(),
	})
}

// treatment returns how the task may run.
func (acceptor *Acceptor) treatment(task lagoonlanding.Task) quarantiner.Treatment {
	return acceptor.config.Quarantine.Check(acceptor.config.Clock.Now(), suspectOf(task))
}

// begin notes that the task goes to the backend server; it is false if it must not.
//
// A suspect runs beside others and is cleared by its answer as if it had run alone: it would have ended the backend server.
func (acceptor *Acceptor) begin(task lagoonlanding.Task) (*quarantiner.Run, bool) {
	return acceptor.config.Quarantine.Start(acceptor.config.Clock.Now(), suspectOf(task), acceptor.treatment(task))
}

func (acceptor *Acceptor) quarantined() lagoonlanding.Result {
	return lagoonlanding.NotRun(lagoonlanding.ReasonQuarantined, acceptor.config.Clock.Now().Add(quarantineTerm))
}
