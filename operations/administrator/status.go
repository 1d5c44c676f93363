package administrator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/administrator/encoder"
	"lagoonlanding.example/lagoonlanding/operations/explainer"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// statusTimeout is the time after which a witness that has not replied counts as silent.
const statusTimeout = time.Second

// statusPeers answers status requests to this instance locally, and sends the others to the peers.
type statusPeers struct {
	lagoonlanding.Peers
	status func() lagoonlanding.InstanceStatus
}

// Status returns the status of a group as the instance knows it.
func (statuspeers *statusPeers) Status(ctx context.Context, to lagoonlanding.Instance, request lagoonlanding.StatusRequest) (lagoonlanding.GroupStatus, error) {
	own := statuspeers.status()
	if to.ID() != own.Instance().ID() {
		return statuspeers.Peers.Status(ctx, to, request)
	}
	for _, group := range own.Groups() {
		if group.Group() == request.Group() {
			return group, nil
		}
	}
	return lagoonlanding.GroupStatus{}, errors.New("this instance has no role in the group")
}

func (administrator *Administrator) status(call call[noBody]) (int, encoder.Status, error) {
	return http.StatusOK, administrator.inspect(call.ctx()), nil
}

// inspect queries the witnesses of all groups that this instance knows.
func (administrator *Administrator) inspect(ctx context.Context) encoder.Status {
	snapshot := administrator.config.Snapshots.Current()
	own := administrator.config.Status()
	message := encoder.Status{
		Instance: own.Instance().ID().String(), Zone: own.Instance().AvailabilityZone(), Region: own.Instance().Region(),
		Set: own.Set(), Revision: own.Revision(), StoreReachable: !own.IsDisconnected(), Leaving: own.IsLeaving(),
	}
	var groups []router.Group
	var records []lagoonlanding.Record
	for _, group := range snapshot.Groups() {
		groups = append(groups, group)
	}
	slices.SortFunc(groups, func(a, b router.Group) int {
		return cmp.Compare(a.Record().Group().String(), b.Record().Group().String())
	})
	for _, group := range groups {
		records = append(records, group.Record())
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	replies := administrator.confirmer.QueryWitnesses(ctx, records)
	now := administrator.config.Clock.Now()
	message.Limits = instanceLimits(snapshot, own)
	for i, group := range groups {
		inspection := inspection{now: now, group: group, replies: replies[i]}
		message.Groups = append(message.Groups, inspection.groupMessage())
		message.Limits = append(message.Limits, inspection.limits()...)
	}
	return message
}

// instanceLimits returns what this instance currently cannot do, and why.
func instanceLimits(snapshot *router.Snapshot, own lagoonlanding.InstanceStatus) []string {
	var limits []string
	if own.IsDisconnected() {
		limits = append(limits, "publishing, joining and the replacement of lost members wait: this instance cannot reach the store")
	}
	if own.IsLeaving() {
		limits = append(limits, "this instance takes no new work: it is leaving")
	}
	if snapshot.Set() == nil {
		return append(limits, "no request is routed: no published set is known here")
	}
	for _, service := range snapshot.Set().Services() {
		for _, partition := range service.Partitions() {
			id := lagoonlanding.NewGroupID(service.Name(), partition.Name())
			if _, ok := snapshot.Group(id); !ok {
				limits = append(limits, fmt.Sprintf("keys of %s have no owner: no instance has joined yet", id))
			}
		}
	}
	return limits
}

func (administrator *Administrator) explain(call call[noBody]) (int, encoder.Explanation, error) {
	query := call.request.URL.Query()
	key := lagoonlanding.NewKey(query.Get("service"), query.Get("workspace"), query.Get("key"))
	explanation := explainer.Explain(administrator.config.Snapshots.Current(), key)
	message := encoder.Explanation{Service: key.Service(), Workspace: key.Workspace(), Key: key.Name()}
	if !explanation.Owner().IsZero() {
		message.Owner = explanation.Owner().String()
	}
	for _, step := range explanation.Steps() {
		message.Steps = append(message.Steps, encoder.Step{What: step.What(), Value: step.Value(), Why: step.Why()})
	}
	return http.StatusOK, message, nil
}

func (administrator *Administrator) drain(call[noBody]) (int, encoder.Status, error) {
	administrator.config.Log.Info("Draining at the request of an operator; this instance hands over its shards and stops.")
	administrator.config.Drain()
	own := administrator.config.Status()
	return http.StatusAccepted, encoder.Status{
		Instance: own.Instance().ID().String(), Zone: own.Instance().AvailabilityZone(), Region: own.Instance().Region(),
		Set: own.Set(), Revision: own.Revision(), StoreReachable: !own.IsDisconnected(), Leaving: own.IsLeaving(),
	}, nil
}

// watch waits until this instance applies a newer set than the given version, or the timeout has passed.
func (administrator *Administrator) watch(call call[noBody]) (int, encoder.Publication, error) {
	after, err := versionParameter(call.request, "after")
	if err != nil {
		return http.StatusBadRequest, encoder.Publication{}, err
	}
	timeout := administrator.config.Clock.Until(administrator.config.Clock.Now().Add(watchTimeout))
	for {
		// The channel is taken before the snapshot, so that no change in between is missed.
		changed := administrator.config.Snapshots.Changed()
		set := administrator.config.Snapshots.Current().Set()
		if set != nil && set.Version() > after {
			return http.StatusOK, encoder.FromPublication(set), nil
		}
		select {
		case <-call.ctx().Done():
			return http.StatusServiceUnavailable, encoder.Publication{}, call.ctx().Err()
		case <-timeout:
			return http.StatusOK, encoder.Publication{Version: after}, nil
		case <-changed:
		}
	}
}
