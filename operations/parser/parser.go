package parser

import (
	"fmt"

	"github.com/BurntSushi/toml"

	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// The limits of the sources.
const (
	// MaxSourceSize limits the size of all sources together, in bytes.
	MaxSourceSize = 4 << 20
	// MaxSources limits the number of files.
	MaxSources = 256
	// MaxFaults limits the number of faults that are reported.
	MaxFaults = 200
)

// Parse returns the set that the sources define together, or all its faults; the set is nil if there are faults.
func Parse(sources []Source) (*publisher.Set, []Fault) {
	set, reader := parse(sources)
	if !reader.incomplete {
		for _, fault := range publisher.Check(set) {
			reader.addLocatedFault(fault)
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
		reader.incomplete = true
		return nil, reader
	}
	for _, source := range sources {
		reader.readSource(source)
	}
	return publisher.NewSet(reader.config), reader
}

// reader collects the objects and faults of all sources.
type reader struct {
	config    publisher.SetConfig
	locations map[string]location
	// invalid holds the fields with a value of the wrong type, for which further faults are not reported.
	invalid map[string]bool
	faults  []Fault
	// incomplete means that objects are missing, so references cannot be checked.
	incomplete bool
	truncated  bool
}

func newReader() *reader {
	return &reader{locations: make(map[string]location), invalid: make(map[string]bool)}
}

// location is the position of an object or a field in the sources.
type location struct {
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
		reader.addFault("", 0, publisher.NewFault("set", "", "there is no .toml file"))
	}
	if len(sources) > MaxSources {
		reader.addFault("", 0, publisher.NewFault("set", "", fmt.Sprintf("there are %d files, at most %d are allowed", len(sources), MaxSources)))
	}
	if size > MaxSourceSize {
		reader.addFault("", 0, publisher.NewFault("set", "", fmt.Sprintf("the files have more than %d bytes", MaxSourceSize)))
	}
	return len(reader.faults) == 0
}

// addFault records a fault; after MaxFaults it only records that there are more.
func (reader *reader) addFault(file string, line int, fault publisher.Fault) {
	if len(reader.faults) >= MaxFaults {
		if !reader.truncated {
			reader.truncated = true
			fault := publisher.NewFault("set", "", fmt.Sprintf("there are more than %d faults", MaxFaults))
			reader.faults = append(reader.faults, NewFault("", 0, fault))
		}
		return
	}
	reader.faults = append(reader.faults, NewFault(file, line, fault))
}

// addLocatedFault records a fault of the set at the line of the field or, if the field is absent, of the object.
func (reader *reader) addLocatedFault(fault publisher.Fault) {
	if reader.invalid[fault.Object()+"."+fault.Field()] {
		return
	}
	for _, path := range []string{fault.Object() + "." + fault.Field(), fault.Object()} {
		if found, ok := reader.locations[path]; ok {
			reader.addFault(found.file, found.line(), fault)
			return
		}
	}
	reader.addFault("", 0, fault)
}

// line returns the line of the value, or the first line of its fields for a table without a header.
func (location location) line() int {
	if line := lineOf(location.meta.PrimitiveDecode(location.value, &lineProbe{})); line > 0 {
		return line
	}
	var fields map[string]toml.Primitive
	if err := location.meta.PrimitiveDecode(location.value, &fields); err != nil {
		return 0
	}
	firstLine := 0
	for _, value := range fields {
		location.value = value
		if line := location.line(); firstLine == 0 || line > 0 && line < firstLine {
			firstLine = line
		}
	}
	return firstLine
}

// Locate adds the locations in the sources to faults that other checks found in their set.
func Locate(sources []Source, faults []publisher.Fault) []Fault {
	_, reader := parse(sources)
	reader.faults = nil
	for _, fault := range faults {
		reader.addLocatedFault(fault)
	}
	sortFaults(reader.faults)
	return reader.faults
}
