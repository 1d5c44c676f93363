package router

import (
	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// HomeInstances returns up to maxHomeInstances active instances within the home regions of the workspace.
func (snapshot *Snapshot) HomeInstances(workspace publisher.Workspace) []lagoonlanding.Instance {
	return snapshot.homeInstances(workspace)
}
