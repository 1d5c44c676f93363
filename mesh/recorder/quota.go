package recorder

import "lagoonlanding.example/lagoonlanding"

// maxWorkspaces limits the workspaces with a label of their own, to bound the cardinality of the metrics.
const maxWorkspaces = 256

// otherWorkspaces is the label of all workspaces beyond the limit.
const otherWorkspaces = "other"

var _ lagoonlanding.QuotaMeter = (*Recorder)(nil)

// Counted counts a request of a workspace with a quota: whether it used a leased credit or the reserve, or was refused.
func (recorder *Recorder) Counted(workspace, decision string) {
	label := recorder.workspaceLabel(workspace)
	recorder.scope.Tagged(map[string]string{"workspace": label, "decision": decision}).Counter("quota_requests").Inc(1)
}

func (recorder *Recorder) workspaceLabel(workspace string) string {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if !recorder.workspaces[workspace] && len(recorder.workspaces) >= maxWorkspaces {
		return otherWorkspaces
	}
	recorder.workspaces[workspace] = true
	return workspace
}
