package encoder

import (
	"lagoonlanding.example/lagoonlanding/operations/conductor"
	"lagoonlanding.example/lagoonlanding/operations/parser"
	"lagoonlanding.example/lagoonlanding/operations/planner"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// Fault is one reason why a set is refused.
type Fault struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Object  string `json:"object"`
	Field   string `json:"field,omitempty"`
	Problem string `json:"problem"`
}

// Change is one difference between the set in force and the proposed one.
type Change struct {
	Kind   string `json:"kind"`
	Object string `json:"object"`
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Move is how many shards of a group change owners.
type Move struct {
	Group  string `json:"group"`
	Shards int    `json:"shards"`
	Moved  int    `json:"moved"`
}

// Capacity is the slots of a service in a zone.
type Capacity struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Before  int    `json:"before"`
	After   int    `json:"after"`
}

// Danger is an effect that must be accepted by its name.
type Danger struct {
	Name    string `json:"name"`
	Problem string `json:"problem"`
}

// Plan is the answer to a check or a plan.
type Plan struct {
	BaseVersion uint64     `json:"base-version"`
	Faults      []Fault    `json:"faults,omitempty"`
	Changes     []Change   `json:"changes,omitempty"`
	Moves       []Move     `json:"moves,omitempty"`
	Capacities  []Capacity `json:"capacities,omitempty"`
	Dangers     []Danger   `json:"dangers,omitempty"`
}

// FromFaults returns the form of faults with their places.
func FromFaults(faults []parser.Fault) []Fault {
	var forms []Fault
	for _, fault := range faults {
		forms = append(forms, Fault{
			File: fault.File(), Line: fault.Line(), Object: fault.Object(), Field: fault.Field(), Problem: fault.Problem(),
		})
	}
	return forms
}

// FromObjectFaults returns the form of faults without places.
func FromObjectFaults(faults []publisher.Fault) []Fault {
	var forms []Fault
	for _, fault := range faults {
		forms = append(forms, Fault{Object: fault.Object(), Field: fault.Field(), Problem: fault.Problem()})
	}
	return forms
}

// FromDangers returns the form of the dangers.
func FromDangers(dangers []planner.Danger) []Danger {
	var forms []Danger
	for _, danger := range dangers {
		forms = append(forms, Danger{Name: danger.Name(), Problem: danger.Problem()})
	}
	return forms
}

// FromProposal returns the form of the proposal; the sources, if any, give the faults their places.
func FromProposal(proposal conductor.Proposal, sources []parser.Source) Plan {
	form := Plan{BaseVersion: proposal.StoredSet().Version(), Dangers: FromDangers(proposal.Plan().Dangers())}
	if len(sources) > 0 {
		form.Faults = FromFaults(parser.Locate(sources, proposal.Faults()))
	} else {
		form.Faults = FromObjectFaults(proposal.Faults())
	}
	for _, change := range proposal.Plan().Changes() {
		form.Changes = append(form.Changes, Change{
			Kind: string(change.Kind()), Object: change.Object(), Field: change.Field(),
			Before: change.Before(), After: change.After(),
		})
	}
	for _, move := range proposal.Plan().Moves() {
		form.Moves = append(form.Moves, Move{Group: move.Group().String(), Shards: move.Shards(), Moved: move.Moved()})
	}
	for _, capacity := range proposal.Plan().Capacities() {
		form.Capacities = append(form.Capacities, Capacity{
			Service: capacity.Service(), Zone: capacity.Zone(), Before: capacity.Before(), After: capacity.After(),
		})
	}
	return form
}
