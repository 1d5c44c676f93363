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

// statusTimeout is when a witness counts as silent.
const statusTimeout = time.Second

// statusPeers answers questions to this instance without the network.
type statusPeers struct {
	lagoonlanding.Peers
	status func() lagoonlanding.InstanceStatus
}

// Status asks for what the instance knows of a group.
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

func (administrator *Administrator) status(call call[none]) (int, encoder.Status, error) {
	return http.StatusOK, administrator.inspect(call.ctx()), nil
}

// inspect asks the witnesses of all groups that this instance knows.
func (administrator *Administrator) inspect(ctx context.Context) encoder.Status {
	snapshot := administrator.config.Snapshots.Current()
	own := administrator.config.Status()
	form := encoder.Status{
		Instance: own.Instance().ID().String(), Zone: own.Instance().AvailabilityZone(), Region: own.Instance().Region(),
		Set: own.Set(), Revision: own.Revision(), StoreSeen: !own.IsDisconnected(), Leaving: own.IsLeaving(),
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
	answers := administrator.confirmer.QueryWitnesses(ctx, records)
	now := administrator.config.Clock.Now()
	form.Limits = limitsOf(snapshot, own)
	for i, group := range groups {
		inspection := inspection{now: now, group: group, answers: answers[i]}
		form.Groups = append(form.Groups, inspection.form())
		form.Limits = append(form.Limits, inspection.limits()...)
	}
	return form
}

// limitsOf returns what this instance cannot do now, and why.
func limitsOf(snapshot *router.Snapshot, own lagoonlanding.InstanceStatus) []string {
	var limits []string
	if own.IsDisconnected() {
		limits = append(limits, "publishing, joining and healing of losses wait: this instance cannot reach the store")
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

func (administrator *Administrator) explain(call call[none]) (int, encoder.Explanation, error) {
	query := call.request.URL.Query()
	key := lagoonlanding.NewKey(query.Get("service"), query.Get("workspace"), query.Get("key"))
	explanation := explainer.Explain(administrator.config.Snapshots.Current(), key)
	form := encoder.Explanation{Service: key.Service(), Workspace: key.Workspace(), Key: key.Name()}
	if !explanation.Owner().IsZero() {
		form.Owner = explanation.Owner().String()
	}
	for _, step := range explanation.Steps() {
		form.Steps = append(form.Steps, encoder.Step{What: step.What(), Value: step.Value(), Why: step.Why()})
	}
	return http.StatusOK, form, nil
}

func (administrator *Administrator) drain(call[none]) (int, encoder.Status, error) {
	administrator.config.Log.Info("Draining by order of an operator.")
	administrator.config.Drain()
	own := administrator.config.Status()
	return http.StatusAccepted, encoder.Status{
		Instance: own.Instance().ID().String(), Zone: own.Instance().AvailabilityZone(), Region: own.Instance().Region(),
		Set: own.Set(), Revision: own.Revision(), StoreSeen: !own.IsDisconnected(), Leaving: own.IsLeaving(),
	}, nil
}

// watch waits until this instance applies a newer set than the given version, or the term ends.
func (administrator *Administrator) watch(call call[none]) (int, encoder.Publication, error) {
	after, err := versionOf(call.request, "after")
	if err != nil {
		return http.StatusBadRequest, encoder.Publication{}, err
	}
	ends := administrator.config.Clock.Until(administrator.config.Clock.Now().Add(watchTerm))
	for {
		// The channel comes first, so that no newer snapshot is missed.
		changed := administrator.config.Snapshots.Changed()
		set := administrator.config.Snapshots.Current().Set()
		if set != nil && set.Version() > after {
			return http.StatusOK, encoder.FromPublication(set), nil
		}
		select {
		case <-call.ctx().Done():
			return http.StatusServiceUnavailable, encoder.Publication{}, call.ctx().Err()
		case <-ends:
			return http.StatusOK, encoder.Publication{Version: after}, nil
		case <-changed:
		}
	}
}
