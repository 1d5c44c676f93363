package parser

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/BurntSushi/toml"

	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

var errLineProbe = errors.New("located")

// lineProbe fails to decode any value, since the TOML library reports the line of a value only in its errors.
type lineProbe struct{}

// UnmarshalTOML fails for every value.
func (lineprobe *lineProbe) UnmarshalTOML(any) error { return errLineProbe }

func lineOf(err error) int {
	var parseerror toml.ParseError
	if errors.As(err, &parseerror) {
		return parseerror.Position.Line
	}
	return 0
}

// table is a TOML table; its fields are removed as they are read.
type table struct {
	reader *reader
	file   string
	meta   *toml.MetaData
	object string
	fields map[string]toml.Primitive
}

// openTable returns the table of an object, or records a fault if the value is not a table.
func (table *table) openTable(object string, value toml.Primitive) (*table, bool) {
	opened := *table
	opened.object = object
	opened.fields = nil
	// Decoding a scalar into a map succeeds without an error, but into a struct it fails.
	err := errors.Join(table.meta.PrimitiveDecode(value, &struct{}{}), table.meta.PrimitiveDecode(value, &opened.fields))
	if err != nil {
		table.reader.addFault(table.file, table.location(value).line(), publisher.NewFault(object, "", "it must be a table"))
		return nil, false
	}
	return &opened, true
}

func (table *table) location(value toml.Primitive) location {
	return location{file: table.file, meta: table.meta, value: value}
}

// readTables reads every table within a field, in the order of their names.
func (table *table) readTables(field, prefix string, read func(name string, table *table)) {
	value, ok := table.fields[field]
	if !ok {
		return
	}
	delete(table.fields, field)
	tables, ok := table.openTable(prefix, value)
	if !ok {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(tables.fields)) {
		object := prefix + "." + name
		value := tables.fields[name]
		if table.isDuplicate(object, value) {
			continue
		}
		if opened, ok := table.openTable(object, value); ok {
			read(name, opened)
			opened.addUnknownFieldFaults()
		}
	}
}

// isDuplicate records the location of an object, or a fault if another object has the same name.
func (table *table) isDuplicate(object string, value toml.Primitive) bool {
	current := table.location(value)
	first, ok := table.reader.locations[object]
	if ok {
		problem := fmt.Sprintf("the name is used twice, first at %s:%d", first.file, first.line())
		table.reader.addFault(table.file, current.line(), publisher.NewFault(object, "", problem))
		return true
	}
	table.reader.locations[object] = current
	return false
}

// addUnknownFieldFaults records a fault for each field that was not read.
func (table *table) addUnknownFieldFaults() {
	for _, field := range slices.Sorted(maps.Keys(table.fields)) {
		line := table.location(table.fields[field]).line()
		table.reader.addFault(table.file, line, publisher.NewFault(table.object, field, "there is no such field"))
	}
}

// readField returns the value of a field, zero if it is absent or has the wrong type.
func readField[T string | int | bool | []string](table *table, field string) T {
	var result T
	value, ok := table.fields[field]
	if !ok {
		return result
	}
	delete(table.fields, field)
	table.reader.locations[table.object+"."+field] = table.location(value)
	if err := table.meta.PrimitiveDecode(value, &result); err != nil {
		table.addValueFault(field, "it must be "+describeType(any(result)))
	}
	return result
}

func (table *table) addValueFault(field, problem string) {
	path := table.object + "." + field
	table.reader.invalid[path] = true
	table.reader.addFault(table.file, table.reader.locations[path].line(), publisher.NewFault(table.object, field, problem))
}

func describeType(value any) string {
	switch value.(type) {
	case string:
		return "a string"
	case int:
		return "a whole number"
	case bool:
		return "true or false"
	}
	return "a list of strings"
}

func readDuration(table *table, field string) time.Duration {
	text := readField[string](table, field)
	if text == "" {
		return 0
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		table.addValueFault(field, fmt.Sprintf("%q is no duration such as \"1.5s\"", text))
	}
	return duration
}
