package dispatcher

import (
	"context"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

const (
	// accuseTimeout bounds the time to tell one instance of suspects.
	accuseTimeout = time.Second
	// maxAccused bounds the instances that one crash is told to.
	maxAccused = 64
)

// accuse tells the other instances of the service of the suspects after a crash, and learns theirs.
//
// Suspects never leave the home regions of their workspaces.
func (dispatcher *Dispatcher) accuse(service string) {
	peers, ok := dispatcher.config.Peers.(lagoonlanding.SuspectPeers)
	if !ok {
		return
	}
	snapshot := dispatcher.config.Snapshots.Current()
	notice := dispatcher.known(service)
	for _, instance := range colleagues(snapshot, service) {
		permitted := within(snapshot, notice, instance.Region())
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), accuseTimeout)
			defer cancel()
			known, err := peers.Accuse(ctx, instance, permitted)
			if err != nil {
				// An instance that is told nothing learns of the suspects at its own first crash.
				return
			}
			dispatcher.learn(known)
		}()
	}
}

// OnSuspects takes the suspects of another instance and returns those of the same service that this instance knows.
func (dispatcher *Dispatcher) OnSuspects(notice lagoonlanding.SuspectNotice) lagoonlanding.SuspectNotice {
	dispatcher.learn(notice)
	return within(dispatcher.config.Snapshots.Current(), dispatcher.known(notice.Service()), notice.Region())
}

// known returns the suspects of the service that this instance knows.
func (dispatcher *Dispatcher) known(service string) lagoonlanding.SuspectNotice {
	suspects := dispatcher.config.Quarantine.Suspects(dispatcher.config.Clock.Now(), service)
	return lagoonlanding.NewSuspectNotice(service, dispatcher.config.Snapshots.Current().Self().Region(), suspects)
}

func (dispatcher *Dispatcher) learn(notice lagoonlanding.SuspectNotice) {
	snapshot := dispatcher.config.Snapshots.Current()
	permitted := within(snapshot, notice, snapshot.Self().Region())
	dispatcher.config.Quarantine.Merge(dispatcher.config.Clock.Now(), permitted)
}

// colleagues returns the other members of the service's groups.
func colleagues(snapshot *router.Snapshot, service string) []lagoonlanding.Instance {
	var instances []lagoonlanding.Instance
	seen := map[lagoonlanding.InstanceID]bool{snapshot.Self().ID(): true}
	for id, group := range snapshot.Groups() {
		if id.Service() != service {
			continue
		}
		for _, member := range group.Record().Current().Members() {
			if !seen[member.ID()] && len(instances) < maxAccused {
				seen[member.ID()] = true
				instances = append(instances, member.Instance())
			}
		}
	}
	return instances
}

// within returns the notice without the suspects that must not be known in the region.
func within(snapshot *router.Snapshot, notice lagoonlanding.SuspectNotice, region string) lagoonlanding.SuspectNotice {
	var permitted []lagoonlanding.Suspect
	for _, suspect := range notice.Suspects() {
		if snapshot.Set() == nil {
			continue
		}
		if workspace, ok := snapshot.Set().Workspace(suspect.Workspace()); ok && workspace.Permits(region) {
			permitted = append(permitted, suspect)
		}
	}
	return lagoonlanding.NewSuspectNotice(notice.Service(), notice.Region(), permitted)
}
