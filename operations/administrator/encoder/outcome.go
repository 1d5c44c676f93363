package encoder

import (
	"time"

	"lagoonlanding.example/lagoonlanding/operations/conductor"
	"lagoonlanding.example/lagoonlanding/operations/confirmer"
	"lagoonlanding.example/lagoonlanding/operations/parser"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// Lag is one reason why a set is not yet known to be in force everywhere.
type Lag struct {
	Kind     string `json:"kind"`
	Group    string `json:"group"`
	Instance string `json:"instance,omitempty"`
	Set      uint64 `json:"set"`
	Problem  string `json:"problem"`
}

// Confirmation says whether a set is in force everywhere.
type Confirmation struct {
	Version uint64 `json:"version"`
	InForce bool   `json:"in-force"`
	Groups  int    `json:"groups"`
	Lags    []Lag  `json:"lags,omitempty"`
	Problem string `json:"problem,omitempty"`
}

// Outcome is the answer to an order to publish.
type Outcome struct {
	Verdict      string        `json:"verdict"`
	Version      uint64        `json:"version,omitempty"`
	Plan         Plan          `json:"plan"`
	Unaccepted   []Danger      `json:"unaccepted,omitempty"`
	Confirmation *Confirmation `json:"confirmation,omitempty"`
	Problem      string        `json:"problem,omitempty"`
}

// Publication says who published a set, when and why.
type Publication struct {
	Version  uint64    `json:"version"`
	ID       string    `json:"id,omitempty"`
	Operator string    `json:"operator,omitempty"`
	Note     string    `json:"note,omitempty"`
	Issued   time.Time `json:"issued,omitzero"`
}

// Set is a published set as TOML.
type Set struct {
	Publication Publication `json:"publication"`
	Text        string      `json:"text"`
}

// History is the kept publications, the newest first.
type History struct {
	Publications []Publication `json:"publications"`
}

// FromConfirmation returns the form of the confirmation.
func FromConfirmation(confirmation confirmer.Confirmation) Confirmation {
	form := Confirmation{Version: confirmation.Version(), InForce: confirmation.IsInForce(), Groups: confirmation.Groups()}
	for _, lag := range confirmation.Lags() {
		one := Lag{Kind: string(lag.Kind()), Group: lag.Group().String(), Set: lag.Set(), Problem: lag.Problem()}
		if !lag.Instance().IsZero() {
			one.Instance = lag.Instance().String()
		}
		form.Lags = append(form.Lags, one)
	}
	if confirmation.Err() != nil {
		form.Problem = confirmation.Err().Error()
	}
	return form
}

// FromOutcome returns the form of the outcome; the sources, if any, give the faults their places.
func FromOutcome(outcome conductor.Outcome, sources []parser.Source) Outcome {
	form := Outcome{
		Verdict: string(outcome.Verdict()), Plan: FromProposal(outcome.Proposal(), sources), Unaccepted: FromDangers(outcome.Unaccepted()),
	}
	switch outcome.Verdict() {
	case conductor.InForce, conductor.Pending, conductor.Written:
		form.Version = outcome.Proposal().Set().Version()
	default:
		form.Version = outcome.Proposal().StoredSet().Version()
	}
	if outcome.Confirmation().Version() > 0 {
		confirmation := FromConfirmation(outcome.Confirmation())
		form.Confirmation = &confirmation
	}
	if outcome.Err() != nil {
		form.Problem = outcome.Err().Error()
	}
	return form
}

// FromPublication returns the form of the set's publication.
func FromPublication(set *publisher.Set) Publication {
	publication := set.Publication()
	return Publication{
		Version: set.Version(), ID: publication.ID(), Operator: publication.Operator(),
		Note: publication.Note(), Issued: publication.Issued(),
	}
}
