package acceptor

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/quarantiner"
)

// quarantineRetryDelay is the retry delay for a quarantined request; the quarantine itself lasts longer.
const quarantineRetryDelay = 30 * time.Second

// quarantineRequest returns the request by which the quarantine identifies the task: its caller, method, host and target.
//
// The body is streamed and is not part of it.
func quarantineRequest(task lagoonlanding.Task) lagoonlanding.Request {
	return lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
		ID: task.ID(), Key: lagoonlanding.NewKey(task.Service(), "", task.Caller()), Method: task.Method(), Path: task.Host() + task.Target(),
	})
}

// treatment returns how the task may run.
func (acceptor *Acceptor) treatment(task lagoonlanding.Task) quarantiner.Treatment {
	return acceptor.config.Quarantine.Check(acceptor.config.Clock.Now(), quarantineRequest(task))
}

// startRun records that the task is sent to the backend server; it returns false if the task is quarantined.
//
// A suspect request runs concurrently with others, and an answer clears it as if it had run exclusively: a request that crashes the backend server
// gets none.
func (acceptor *Acceptor) startRun(task lagoonlanding.Task) (*quarantiner.Run, bool) {
	return acceptor.config.Quarantine.Start(acceptor.config.Clock.Now(), quarantineRequest(task), acceptor.treatment(task))
}

func (acceptor *Acceptor) quarantinedResult() lagoonlanding.Result {
	return lagoonlanding.NotRun(lagoonlanding.ReasonQuarantined, acceptor.config.Clock.Now().Add(quarantineRetryDelay))
}
