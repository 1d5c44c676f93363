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

// SetRequest asks to check, plan or publish a set.
type SetRequest struct {
	Sources []Source `json:"sources"`
	// BaseVersion is the version in force that the request was made for; only publishing uses it and the fields below.
	BaseVersion uint64   `json:"base-version,omitempty"`
	Accept      []string `json:"accept,omitempty"`
	Operator    string   `json:"operator,omitempty"`
	Note        string   `json:"note,omitempty"`
	// Wait is how long to wait for the set to be in force everywhere, such as 10s.
	Wait string `json:"wait,omitempty"`
}

// ZoneRequest asks to take a zone out of service or back in.
type ZoneRequest struct {
	Accept   []string `json:"accept,omitempty"`
	Operator string   `json:"operator,omitempty"`
	Note     string   `json:"note,omitempty"`
	Wait     string   `json:"wait,omitempty"`
}

// Error is the reply to a call that failed.
type Error struct {
	Problem string `json:"problem"`
}

// FromSources returns the message of the sources.
func FromSources(sources []parser.Source) []Source {
	messages := make([]Source, 0, len(sources))
	for _, source := range sources {
		messages = append(messages, Source{Name: source.Name(), Text: source.Text()})
	}
	return messages
}

// ParserSources returns the sources for the parser.
func (setrequest SetRequest) ParserSources() []parser.Source {
	sources := make([]parser.Source, 0, len(setrequest.Sources))
	for _, source := range setrequest.Sources {
		sources = append(sources, parser.NewSource(source.Name, source.Text))
	}
	return sources
}

// TimeLeft returns the time from now until the deadline, rounded to milliseconds.
func TimeLeft(now, deadline time.Time) string {
	return deadline.Sub(now).Round(time.Millisecond).String()
}
