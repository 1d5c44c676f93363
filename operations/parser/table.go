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

var errLocated = errors.New("located")

// locator makes the TOML library tell the line of a value, which it only puts into errors.
type locator struct{}

// UnmarshalTOML fails, whatever the value.
func (locator *locator) UnmarshalTOML(any) error { return errLocated }

func lineOf(err error) int {
	var parseerror toml.ParseError
	if errors.As(err, &parseerror) {
		return parseerror.Position.Line
	}
	return 0
}

// table is a TOML table whose fields are taken one by one.
type table struct {
	reader *reader
	file   string
	meta   *toml.MetaData
	object string
	fields map[string]toml.Primitive
}

// open returns the table of an object, or notes that the value is none.
func (table *table) open(object string, value toml.Primitive) (*table, bool) {
	opened := *table
	opened.object = object
	opened.fields = nil
	// Decoding a scalar into a map succeeds silently, into a struct it fails.
	err := errors.Join(table.meta.PrimitiveDecode(value, &struct{}{}), table.meta.PrimitiveDecode(value, &opened.fields))
	if err != nil {
		table.reader.add(table.file, table.place(value).line(), publisher.NewFault(object, "", "it must be a table"))
		return nil, false
	}
	return &opened, true
}

func (table *table) place(value toml.Primitive) place {
	return place{file: table.file, meta: table.meta, value: value}
}

// each opens every table within a field, in the order of their names.
func (table *table) each(field, prefix string, read func(name string, table *table)) {
	value, ok := table.fields[field]
	if !ok {
		return
	}
	delete(table.fields, field)
	tables, ok := table.open(prefix, value)
	if !ok {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(tables.fields)) {
		object := prefix + "." + name
		value := tables.fields[name]
		if table.isRepeated(object, value) {
			continue
		}
		if opened, ok := table.open(object, value); ok {
			read(name, opened)
			opened.refuseUnknown()
		}
	}
}

func (table *table) isRepeated(object string, value toml.Primitive) bool {
	here := table.place(value)
	before, ok := table.reader.places[object]
	if ok {
		problem := fmt.Sprintf("the name is used twice, first at %s:%d", before.file, before.line())
		table.reader.add(table.file, here.line(), publisher.NewFault(object, "", problem))
		return true
	}
	table.reader.places[object] = here
	return false
}

// refuseUnknown notes a fault for each field that was not taken.
func (table *table) refuseUnknown() {
	for _, field := range slices.Sorted(maps.Keys(table.fields)) {
		line := table.place(table.fields[field]).line()
		table.reader.add(table.file, line, publisher.NewFault(table.object, field, "there is no such field"))
	}
}

// take returns the value of a field, zero if it is absent or faulty.
func take[T string | int | bool | []string](table *table, field string) T {
	var result T
	value, ok := table.fields[field]
	if !ok {
		return result
	}
	delete(table.fields, field)
	table.reader.places[table.object+"."+field] = table.place(value)
	if err := table.meta.PrimitiveDecode(value, &result); err != nil {
		table.refuseValue(field, "it must be "+describe(any(result)))
	}
	return result
}

func (table *table) refuseValue(field, problem string) {
	path := table.object + "." + field
	table.reader.unread[path] = true
	table.reader.add(table.file, table.reader.places[path].line(), publisher.NewFault(table.object, field, problem))
}

func describe(value any) string {
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

func takeDuration(table *table, field string) time.Duration {
	text := take[string](table, field)
	if text == "" {
		return 0
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		table.refuseValue(field, fmt.Sprintf("%q is no duration such as \"1.5s\"", text))
	}
	return duration
}
