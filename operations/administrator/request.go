package administrator

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"lagoonlanding.example/lagoonlanding/operations/administrator/encoder"
	"lagoonlanding.example/lagoonlanding/operations/conductor"
	"lagoonlanding.example/lagoonlanding/operations/parser"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// noBody is the body type of calls without a body.
type noBody struct{}

func (administrator *Administrator) check(call call[encoder.SetRequest]) (int, encoder.Plan, error) {
	_, faults := parser.Parse(call.body.ParserSources())
	return http.StatusOK, encoder.Plan{Faults: encoder.FromFaults(faults)}, nil
}

func (administrator *Administrator) plan(call call[encoder.SetRequest]) (int, encoder.Plan, error) {
	sources := call.body.ParserSources()
	set, faults := parser.Parse(sources)
	if len(faults) > 0 {
		return http.StatusOK, encoder.Plan{Faults: encoder.FromFaults(faults)}, nil
	}
	proposal, err := administrator.conductor.Propose(call.ctx(), set)
	if err != nil {
		return http.StatusServiceUnavailable, encoder.Plan{}, err
	}
	return http.StatusOK, encoder.FromProposal(proposal, sources), nil
}

func (administrator *Administrator) publish(call call[encoder.SetRequest]) (int, encoder.Outcome, error) {
	sources := call.body.ParserSources()
	set, faults := parser.Parse(sources)
	if len(faults) > 0 {
		faulty := encoder.Outcome{Verdict: string(conductor.Faulty), Plan: encoder.Plan{Faults: encoder.FromFaults(faults)}}
		return httpStatus(conductor.Faulty), faulty, nil
	}
	until, err := administrator.waitUntil(call.body.Wait)
	if err != nil {
		return http.StatusBadRequest, encoder.Outcome{}, err
	}
	outcome := administrator.conductor.Publish(detach(call.ctx()), conductor.NewSetRequest(conductor.SetRequestConfig{
		Set: set, Base: call.body.BaseVersion, Accepted: call.body.Accept, WaitUntil: until,
		Publication: administrator.publication(call.operator, call.body.Operator, call.body.Note),
	}))
	administrator.logOutcome("publish", outcome)
	return httpStatus(outcome.Verdict()), encoder.FromOutcome(outcome, sources), nil
}

func (administrator *Administrator) setZone(call call[encoder.ZoneRequest]) (int, encoder.Outcome, error) {
	action := call.request.PathValue("action")
	if action != "out" && action != "return" {
		return http.StatusNotFound, encoder.Outcome{}, fmt.Errorf("a zone can go out or return, not %q", action)
	}
	until, err := administrator.waitUntil(call.body.Wait)
	if err != nil {
		return http.StatusBadRequest, encoder.Outcome{}, err
	}
	zone := call.request.PathValue("zone")
	note := call.body.Note
	if note == "" {
		note = "zone " + action + " " + zone
	}
	outcome := administrator.conductor.SetZone(detach(call.ctx()), conductor.NewZoneRequest(conductor.ZoneRequestConfig{
		Zone: zone, Out: action == "out", Accepted: call.body.Accept, WaitUntil: until,
		Publication: administrator.publication(call.operator, call.body.Operator, note),
	}))
	administrator.logOutcome("zone "+action+" "+zone, outcome)
	return httpStatus(outcome.Verdict()), encoder.FromOutcome(outcome, nil), nil
}

// detach returns a context that is not cancelled when the operator disconnects, so that the request is completed and logged.
func detach(ctx context.Context) context.Context { return context.WithoutCancel(ctx) }

// publication names the operator after the key, or as in the request if the key has no name.
func (administrator *Administrator) publication(keyName, requestedName, note string) publisher.Publication {
	if keyName == "" {
		keyName = requestedName
	}
	return publisher.NewPublication(publisher.PublicationConfig{
		ID: rand.Text(), Operator: keyName, Note: note, Issued: administrator.config.Clock.Now().UTC().Round(0),
	})
}

func (administrator *Administrator) waitUntil(text string) (time.Time, error) {
	wait := defaultWait
	if text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed < 0 || parsed > maxWait {
			return time.Time{}, fmt.Errorf("the wait %q is not a duration of at most %v", text, maxWait)
		}
		wait = parsed
	}
	return administrator.config.Clock.Now().Add(wait), nil
}

func (administrator *Administrator) logOutcome(action string, outcome conductor.Outcome) {
	entry := administrator.config.Log.WithField("verdict", string(outcome.Verdict()))
	if outcome.Err() != nil {
		entry = entry.WithError(outcome.Err())
	}
	entry.Infof("Handled the request to %s.", action)
}

func httpStatus(verdict conductor.Verdict) int {
	switch verdict {
	case conductor.InForce, conductor.Unchanged, conductor.Written:
		return http.StatusOK
	case conductor.Pending:
		return http.StatusAccepted
	case conductor.Faulty:
		return http.StatusUnprocessableEntity
	case conductor.Dangerous:
		return http.StatusPreconditionFailed
	case conductor.Outrun:
		return http.StatusConflict
	case conductor.Uncertain:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

func (administrator *Administrator) set(call call[noBody]) (int, encoder.Set, error) {
	version, err := versionParameter(call.request, "version")
	if err != nil {
		return http.StatusBadRequest, encoder.Set{}, err
	}
	sets, err := administrator.readSets(call.ctx(), version)
	if err != nil {
		return http.StatusServiceUnavailable, encoder.Set{}, err
	}
	for _, set := range sets {
		if version != 0 && set.Version() != version {
			continue
		}
		text, err := parser.Format(set)
		if err != nil {
			return http.StatusInternalServerError, encoder.Set{}, err
		}
		return http.StatusOK, encoder.Set{Publication: encoder.FromPublication(set), Text: text}, nil
	}
	return http.StatusNotFound, encoder.Set{}, errors.New("there is no such set, or it is no longer in the history")
}

// readSets returns the set in force, and the earlier ones too if a version is given.
func (administrator *Administrator) readSets(ctx context.Context, version uint64) ([]*publisher.Set, error) {
	if version > 0 {
		return administrator.submitter.History(ctx)
	}
	storedset, err := administrator.submitter.Read(ctx)
	if err != nil || storedset.Set() == nil {
		return nil, err
	}
	return []*publisher.Set{storedset.Set()}, nil
}

func (administrator *Administrator) history(call call[noBody]) (int, encoder.History, error) {
	sets, err := administrator.submitter.History(call.ctx())
	if err != nil {
		return http.StatusServiceUnavailable, encoder.History{}, err
	}
	var history encoder.History
	for _, set := range sets {
		history.Publications = append(history.Publications, encoder.FromPublication(set))
	}
	return http.StatusOK, history, nil
}

func (administrator *Administrator) confirmation(call call[noBody]) (int, encoder.Confirmation, error) {
	version, err := versionParameter(call.request, "version")
	if err != nil {
		return http.StatusBadRequest, encoder.Confirmation{}, err
	}
	if version == 0 {
		storedset, err := administrator.submitter.Read(call.ctx())
		if err != nil {
			return http.StatusServiceUnavailable, encoder.Confirmation{}, err
		}
		version = storedset.Version()
	}
	return http.StatusOK, encoder.FromConfirmation(administrator.confirmer.Confirm(call.ctx(), version)), nil
}

func versionParameter(request *http.Request, name string) (uint64, error) {
	text := request.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s %q is not a number", name, text)
	}
	return version, nil
}
