package dispatcher

import (
	"context"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

const (
	// shareTimeout bounds the time to send suspects to one instance.
	shareTimeout = time.Second
	// maxSharePeers bounds the instances that are notified of one crash.
	maxSharePeers = 64
)

// shareSuspects exchanges suspects with the other instances of the service after a crash.
//
// Suspects are never sent outside the home regions of their workspaces.
func (dispatcher *Dispatcher) shareSuspects(service string) {
	peers, ok := dispatcher.config.Peers.(lagoonlanding.SuspectPeers)
	if !ok {
		return
	}
	snapshot := dispatcher.config.Snapshots.Current()
	notice := dispatcher.localSuspects(service)
	for _, instance := range peersOf(snapshot, service) {
		permitted := permittedIn(snapshot, notice, instance.Region())
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
			defer cancel()
			theirs, err := peers.Accuse(ctx, instance, permitted)
			if err != nil {
				// Sharing is best effort: an instance that misses it receives the suspects in the exchange after its own first crash.
				return
			}
			dispatcher.mergeSuspects(theirs)
		}()
	}
}

// OnSuspects merges the suspects of another instance and returns the suspects of the same service on this instance.
func (dispatcher *Dispatcher) OnSuspects(notice lagoonlanding.SuspectNotice) lagoonlanding.SuspectNotice {
	dispatcher.mergeSuspects(notice)
	return permittedIn(dispatcher.config.Snapshots.Current(), dispatcher.localSuspects(notice.Service()), notice.Region())
}

// localSuspects returns the suspects of the service on this instance.
func (dispatcher *Dispatcher) localSuspects(service string) lagoonlanding.SuspectNotice {
	suspects := dispatcher.config.Quarantine.Suspects(dispatcher.config.Clock.Now(), service)
	return lagoonlanding.NewSuspectNotice(service, dispatcher.config.Snapshots.Current().Self().Region(), suspects)
}

func (dispatcher *Dispatcher) mergeSuspects(notice lagoonlanding.SuspectNotice) {
	snapshot := dispatcher.config.Snapshots.Current()
	permitted := permittedIn(snapshot, notice, snapshot.Self().Region())
	dispatcher.config.Quarantine.Merge(dispatcher.config.Clock.Now(), permitted)
}

// peersOf returns the other members of the service's groups, up to maxSharePeers.
func peersOf(snapshot *router.Snapshot, service string) []lagoonlanding.Instance {
	var instances []lagoonlanding.Instance
	seen := map[lagoonlanding.InstanceID]bool{snapshot.Self().ID(): true}
	for id, group := range snapshot.Groups() {
		if id.Service() != service {
			continue
		}
		for _, member := range group.Record().Current().Members() {
			if !seen[member.ID()] && len(instances) < maxSharePeers {
				seen[member.ID()] = true
				instances = append(instances, member.Instance())
			}
		}
	}
	return instances
}

// permittedIn returns the notice without the suspects whose workspaces do not permit the region.
func permittedIn(snapshot *router.Snapshot, notice lagoonlanding.SuspectNotice, region string) lagoonlanding.SuspectNotice {
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
