package encoder

import (
	"time"

	"lagoonlanding.example/lagoonlanding/operations/parser"
)

// Source is one TOML file of a set.
type Source struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Order asks to check, plan or publish a set.
type Order struct {
	Sources []Source `json:"sources"`
	// BaseVersion is the version in force that the order was made for; only publishing uses it and what follows.
	BaseVersion uint64   `json:"base-version,omitempty"`
	Accept      []string `json:"accept,omitempty"`
	Operator    string   `json:"operator,omitempty"`
	Note        string   `json:"note,omitempty"`
	// Wait is how long to wait for the set to be in force everywhere, such as 10s.
	Wait string `json:"wait,omitempty"`
}

// ZoneOrder asks to take a zone out or back.
type ZoneOrder struct {
	Accept   []string `json:"accept,omitempty"`
	Operator string   `json:"operator,omitempty"`
	Note     string   `json:"note,omitempty"`
	Wait     string   `json:"wait,omitempty"`
}

// Error is the answer to a call that could not be carried out.
type Error struct {
	Problem string `json:"problem"`
}

// FromSources returns the form of the sources.
func FromSources(sources []parser.Source) []Source {
	forms := make([]Source, 0, len(sources))
	for _, source := range sources {
		forms = append(forms, Source{Name: source.Name(), Text: source.Text()})
	}
	return forms
}

// Values returns the sources of the order.
func (order Order) Values() []parser.Source {
	sources := make([]parser.Source, 0, len(order.Sources))
	for _, source := range order.Sources {
		sources = append(sources, parser.NewSource(source.Name, source.Text))
	}
	return sources
}

// Left returns the time from now until the deadline, without noise below a millisecond.
func Left(now, deadline time.Time) string {
	return deadline.Sub(now).Round(time.Millisecond).String()
}
