package controller

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Status returns the status of this instance and its groups.
func (controller *Controller) Status(now time.Time) lagoonlanding.InstanceStatus {
	config := lagoonlanding.InstanceStatusConfig{
		Instance: controller.config.Self, Set: controller.setVersion(), Revision: controller.directory.revision,
		Disconnected: controller.disconnected, Leaving: controller.isLeaving(),
	}
	for _, id := range controller.groupIDs() {
		config.Groups = append(config.Groups, controller.groupStatus(now, id))
	}
	return lagoonlanding.NewInstanceStatus(config)
}

// OnStatus returns this instance's status of a group.
func (controller *Controller) OnStatus(now time.Time, request lagoonlanding.StatusRequest) lagoonlanding.GroupStatus {
	return controller.groupStatus(now, request.Group())
}

func (controller *Controller) groupStatus(now time.Time, id lagoonlanding.GroupID) lagoonlanding.GroupStatus {
	record, _ := controller.directory.record(id)
	config := lagoonlanding.GroupStatusConfig{Group: id, Version: record.Version(), Disconnected: controller.disconnected, Set: controller.setVersion()}
	group, ok := controller.groups[id]
	if !ok {
		return lagoonlanding.NewGroupStatus(config)
	}
	config.Coordinating = controller.isCoordinator(now, group)
	config.Settled = group.tally != nil && group.tally.IsSettled()
	if config.Witness = group.isWitness(); config.Witness {
		for _, member := range record.Current().Members() {
			config.Members = append(config.Members, lagoonlanding.NewMemberStatus(
				member.ID(), member.State(), group.granter.Deadline(member.ID()), group.granter.Set(member.ID()),
			))
		}
	}
	if group.holder != nil {
		config.Serving, config.Acquiring, config.Draining = group.holder.Counts()
		config.Deadline = group.holder.Deadline()
	}
	return lagoonlanding.NewGroupStatus(config)
}

// Status returns the status of this instance and its groups.
func (runner *Runner) Status() lagoonlanding.InstanceStatus {
	return doWithReply(runner, func(now time.Time) lagoonlanding.InstanceStatus { return runner.config.Controller.Status(now) })
}

// OnStatus returns this instance's status of a group.
func (runner *Runner) OnStatus(request lagoonlanding.StatusRequest) lagoonlanding.GroupStatus {
	return doWithReply(runner, func(now time.Time) lagoonlanding.GroupStatus {
		return runner.config.Controller.OnStatus(now, request)
	})
}
