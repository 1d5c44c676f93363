package parser

import (
	"fmt"

	"github.com/BurntSushi/toml"

	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// The limits of the sources.
const (
	// MaxSourceSize bounds the bytes of all sources together.
	MaxSourceSize = 4 << 20
	// MaxSources bounds the files.
	MaxSources = 256
	// MaxFaults bounds the faults that are reported at once.
	MaxFaults = 200
)

// Parse returns the set that the sources describe together, or every fault of it; the set is nil if there are faults.
func Parse(sources []Source) (*publisher.Set, []Fault) {
	set, reader := parse(sources)
	if !reader.partial {
		for _, fault := range publisher.Check(set) {
			reader.place(fault)
		}
	}
	if len(reader.faults) > 0 {
		sortFaults(reader.faults)
		return nil, reader.faults
	}
	return set, nil
}

func parse(sources []Source) (*publisher.Set, *reader) {
	reader := newReader()
	if !reader.checkSize(sources) {
		reader.partial = true
		return nil, reader
	}
	for _, source := range sources {
		reader.readSource(source)
	}
	return publisher.NewSet(reader.config), reader
}

// reader collects the objects and faults of all sources.
type reader struct {
	config publisher.SetConfig
	places map[string]place
	// unread holds the fields with a value of the wrong type, of which a further fault says nothing new.
	unread map[string]bool
	faults []Fault
	// partial says that objects are missing, so that references cannot be checked.
	partial bool
	full    bool
}

func newReader() *reader {
	return &reader{places: make(map[string]place), unread: make(map[string]bool)}
}

// place is where an object or a field stands.
type place struct {
	file  string
	meta  *toml.MetaData
	value toml.Primitive
}

func (reader *reader) checkSize(sources []Source) bool {
	size := 0
	for _, source := range sources {
		size += len(source.text)
	}
	if len(sources) == 0 {
		reader.add("", 0, publisher.NewFault("set", "", "there is no .toml file"))
	}
	if len(sources) > MaxSources {
		reader.add("", 0, publisher.NewFault("set", "", fmt.Sprintf("there are %d files, at most %d are allowed", len(sources), MaxSources)))
	}
	if size > MaxSourceSize {
		reader.add("", 0, publisher.NewFault("set", "", fmt.Sprintf("the files have more than %d bytes", MaxSourceSize)))
	}
	return len(reader.faults) == 0
}

// add notes a fault; beyond the bound only the fact that there are more is noted.
func (reader *reader) add(file string, line int, fault publisher.Fault) {
	if len(reader.faults) >= MaxFaults {
		if !reader.full {
			reader.full = true
			fault := publisher.NewFault("set", "", fmt.Sprintf("there are more than %d faults", MaxFaults))
			reader.faults = append(reader.faults, NewFault("", 0, fault))
		}
		return
	}
	reader.faults = append(reader.faults, NewFault(file, line, fault))
}

// place notes a fault of the set at the line of the field or, if it is absent, of the object.
func (reader *reader) place(fault publisher.Fault) {
	if reader.unread[fault.Object()+"."+fault.Field()] {
		return
	}
	for _, path := range []string{fault.Object() + "." + fault.Field(), fault.Object()} {
		if found, ok := reader.places[path]; ok {
			reader.add(found.file, found.line(), fault)
			return
		}
	}
	reader.add("", 0, fault)
}

// line returns the line of the value, or for a table that no header names the first line of its fields.
func (place place) line() int {
	if line := lineOf(place.meta.PrimitiveDecode(place.value, &locator{})); line > 0 {
		return line
	}
	var fields map[string]toml.Primitive
	if err := place.meta.PrimitiveDecode(place.value, &fields); err != nil {
		return 0
	}
	least := 0
	for _, value := range fields {
		place.value = value
		if line := place.line(); least == 0 || line > 0 && line < least {
			least = line
		}
	}
	return least
}

// Locate adds the places in the sources to faults of their set that were found elsewhere.
func Locate(sources []Source, faults []publisher.Fault) []Fault {
	_, reader := parse(sources)
	reader.faults = nil
	for _, fault := range faults {
		reader.place(fault)
	}
	sortFaults(reader.faults)
	return reader.faults
}
