package encoder

import (
	"lagoonlanding.example/lagoonlanding/operations/conductor"
	"lagoonlanding.example/lagoonlanding/operations/parser"
	"lagoonlanding.example/lagoonlanding/operations/planner"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// Fault is one reason why a set is invalid.
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

// Move counts the shards of a group that change owners.
type Move struct {
	Group  string `json:"group"`
	Shards int    `json:"shards"`
	Moved  int    `json:"moved"`
}

// Capacity holds the slots of a service in a zone.
type Capacity struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Before  int    `json:"before"`
	After   int    `json:"after"`
}

// Danger is a harmful effect of a plan that must be accepted by name.
type Danger struct {
	Name    string `json:"name"`
	Problem string `json:"problem"`
}

// Plan is the reply to a request to check or plan a set.
type Plan struct {
	BaseVersion uint64     `json:"base-version"`
	Faults      []Fault    `json:"faults,omitempty"`
	Changes     []Change   `json:"changes,omitempty"`
	Moves       []Move     `json:"moves,omitempty"`
	Capacities  []Capacity `json:"capacities,omitempty"`
	Dangers     []Danger   `json:"dangers,omitempty"`
}

// FromFaults returns the messages of faults with their locations.
func FromFaults(faults []parser.Fault) []Fault {
	var messages []Fault
	for _, fault := range faults {
		messages = append(messages, Fault{
			File: fault.File(), Line: fault.Line(), Object: fault.Object(), Field: fault.Field(), Problem: fault.Problem(),
		})
	}
	return messages
}

// FromUnlocatedFaults returns the messages of faults without locations.
func FromUnlocatedFaults(faults []publisher.Fault) []Fault {
	var messages []Fault
	for _, fault := range faults {
		messages = append(messages, Fault{Object: fault.Object(), Field: fault.Field(), Problem: fault.Problem()})
	}
	return messages
}

// FromDangers returns the messages of the dangers.
func FromDangers(dangers []planner.Danger) []Danger {
	var messages []Danger
	for _, danger := range dangers {
		messages = append(messages, Danger{Name: danger.Name(), Problem: danger.Problem()})
	}
	return messages
}

// FromProposal returns the message of the proposal; the sources, if any, are used to locate the faults.
func FromProposal(proposal conductor.Proposal, sources []parser.Source) Plan {
	message := Plan{BaseVersion: proposal.StoredSet().Version(), Dangers: FromDangers(proposal.Plan().Dangers())}
	if len(sources) > 0 {
		message.Faults = FromFaults(parser.Locate(sources, proposal.Faults()))
	} else {
		message.Faults = FromUnlocatedFaults(proposal.Faults())
	}
	for _, change := range proposal.Plan().Changes() {
		message.Changes = append(message.Changes, Change{
			Kind: string(change.Kind()), Object: change.Object(), Field: change.Field(),
			Before: change.Before(), After: change.After(),
		})
	}
	for _, move := range proposal.Plan().Moves() {
		message.Moves = append(message.Moves, Move{Group: move.Group().String(), Shards: move.Shards(), Moved: move.Moved()})
	}
	for _, capacity := range proposal.Plan().Capacities() {
		message.Capacities = append(message.Capacities, Capacity{
			Service: capacity.Service(), Zone: capacity.Zone(), Before: capacity.Before(), After: capacity.After(),
		})
	}
	return message
}
