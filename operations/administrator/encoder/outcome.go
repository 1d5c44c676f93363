package encoder

import (
	"time"

	"lagoonlanding.example/lagoonlanding/operations/conductor"
	"lagoonlanding.example/lagoonlanding/operations/confirmer"
	"lagoonlanding.example/lagoonlanding/operations/parser"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// Lag is one reason why a set is not yet confirmed to be in force everywhere.
type Lag struct {
	Kind     string `json:"kind"`
	Group    string `json:"group"`
	Instance string `json:"instance,omitempty"`
	Set      uint64 `json:"set"`
	Problem  string `json:"problem"`
}

// Confirmation reports whether a set is in force everywhere.
type Confirmation struct {
	Version uint64 `json:"version"`
	InForce bool   `json:"in-force"`
	Groups  int    `json:"groups"`
	Lags    []Lag  `json:"lags,omitempty"`
	Problem string `json:"problem,omitempty"`
}

// Outcome is the reply to a request to publish a set or to change a zone.
type Outcome struct {
	Verdict      string        `json:"verdict"`
	Version      uint64        `json:"version,omitempty"`
	Plan         Plan          `json:"plan"`
	Unaccepted   []Danger      `json:"unaccepted,omitempty"`
	Confirmation *Confirmation `json:"confirmation,omitempty"`
	Problem      string        `json:"problem,omitempty"`
}

// Publication records who published a set, when and why.
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

// History lists the publications of the history, newest first.
type History struct {
	Publications []Publication `json:"publications"`
}

// FromConfirmation returns the message of the confirmation.
func FromConfirmation(confirmation confirmer.Confirmation) Confirmation {
	message := Confirmation{Version: confirmation.Version(), InForce: confirmation.IsInForce(), Groups: confirmation.Groups()}
	for _, lag := range confirmation.Lags() {
		lagMessage := Lag{Kind: string(lag.Kind()), Group: lag.Group().String(), Set: lag.Set(), Problem: lag.Problem()}
		if !lag.Instance().IsZero() {
			lagMessage.Instance = lag.Instance().String()
		}
		message.Lags = append(message.Lags, lagMessage)
	}
	if confirmation.Err() != nil {
		message.Problem = confirmation.Err().Error()
	}
	return message
}

// FromOutcome returns the message of the outcome; the sources, if any, are used to locate the faults.
func FromOutcome(outcome conductor.Outcome, sources []parser.Source) Outcome {
	message := Outcome{
		Verdict: string(outcome.Verdict()), Plan: FromProposal(outcome.Proposal(), sources), Unaccepted: FromDangers(outcome.Unaccepted()),
	}
	switch outcome.Verdict() {
	case conductor.InForce, conductor.Pending, conductor.Written:
		message.Version = outcome.Proposal().Set().Version()
	default:
		message.Version = outcome.Proposal().StoredSet().Version()
	}
	if outcome.Confirmation().Version() > 0 {
		confirmation := FromConfirmation(outcome.Confirmation())
		message.Confirmation = &confirmation
	}
	if outcome.Err() != nil {
		message.Problem = outcome.Err().Error()
	}
	return message
}

// FromPublication returns the message of the set's publication.
func FromPublication(set *publisher.Set) Publication {
	publication := set.Publication()
	return Publication{
		Version: set.Version(), ID: publication.ID(), Operator: publication.Operator(),
		Note: publication.Note(), Issued: publication.Issued(),
	}
}
