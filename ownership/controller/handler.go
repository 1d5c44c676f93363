package controller

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// OnRenew handles a member's lease renewal.
func (runner *Runner) OnRenew(request lagoonlanding.RenewRequest) lagoonlanding.RenewReply {
	return doWithReply(runner, func(now time.Time) lagoonlanding.RenewReply {
		return runner.config.Controller.OnRenew(now, request)
	})
}

// OnClear handles a clearance request about the previous layout.
func (runner *Runner) OnClear(request lagoonlanding.ClearanceRequest) lagoonlanding.ClearanceReply {
	return doWithReply(runner, func(now time.Time) lagoonlanding.ClearanceReply {
		return runner.config.Controller.OnClear(now, request)
	})
}

// OnJoin records an instance that joins or leaves.
func (runner *Runner) OnJoin(request lagoonlanding.JoinRequest) lagoonlanding.JoinReply {
	return doWithReply(runner, func(now time.Time) lagoonlanding.JoinReply {
		return runner.config.Controller.OnJoin(now, request)
	})
}

// OnDirectory returns newer directory entries.
func (runner *Runner) OnDirectory(request lagoonlanding.DirectoryRequest) lagoonlanding.DirectoryReply {
	return doWithReply(runner, func(time.Time) lagoonlanding.DirectoryReply {
		return runner.config.Controller.OnDirectory(request)
	})
}

// OnNotice applies a newer record.
func (runner *Runner) OnNotice(notice lagoonlanding.RecordNotice) {
	runner.Do(func(now time.Time) { runner.config.Controller.OnNotice(now, notice) })
}

// OnHandover takes over a shard.
func (runner *Runner) OnHandover(request lagoonlanding.HandoverRequest) lagoonlanding.HandoverReply {
	return doWithReply(runner, func(time.Time) lagoonlanding.HandoverReply {
		return runner.config.Controller.OnHandover(request)
	})
}

// doWithReply runs the function on the control thread and returns its reply, or the zero value, which is no valid status, if the thread has stopped.
func doWithReply[Reply any](runner *Runner, handle func(now time.Time) Reply) Reply {
	var reply Reply
	runner.Do(func(now time.Time) { reply = handle(now) })
	return reply
}
