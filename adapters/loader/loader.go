package loader

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
)

// Override replaces a setting of the file by the value of a flag or an environment variable.
type Override struct {
	key   string
	value string
}

// NewOverride returns the replacement of the setting's value.
func NewOverride(key, value string) Override { return Override{key: key, value: value} }

// Keys returns the names of all settings in the order of their description.
func Keys() []string {
	var keys []string
	for field := range reflect.TypeFor[form]().Fields() {
		keys = append(keys, field.Tag.Get("toml"))
	}
	return keys
}

// Load reads the file, applies the overrides and checks the whole; its errors are Faults unless the file cannot be read.
func Load(path string, overrides []Override) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read the settings: %w", err)
	}
	return Parse(path, string(data), overrides)
}

// Parse is Load for settings that are in memory.
func Parse(file, text string, overrides []Override) (Settings, error) {
	form := defaults()
	meta, err := toml.Decode(text, &form)
	if err != nil {
		return Settings{}, Faults{syntaxFault(file, err)}
	}
	checker := &checker{file: file, lines: linesOf(text), form: &form, overridden: make(map[string]bool)}
	for _, key := range meta.Undecoded() {
		checker.add(key.String(), "there is no such setting")
	}
	for _, override := range overrides {
		checker.override(override)
	}
	settings := checker.settings()
	if len(checker.faults) > 0 {
		return Settings{}, checker.faults
	}
	return settings, nil
}

func syntaxFault(file string, err error) Fault {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return Fault{file: file, line: parse.Position.Line, key: parse.LastKey, problem: problemOf(parse)}
	}
	if parts := typeError.FindStringSubmatch(err.Error()); parts != nil {
		line, _ := strconv.Atoi(parts[1])
		return Fault{file: file, line: line, key: parts[2], problem: parts[3]}
	}
	return Fault{file: file, problem: err.Error()}
}

// typeError is the text of the library's untyped error for a value of the wrong type.
var typeError = regexp.MustCompile(`line (\d+) \(last key "([^"]+)"\): (.*)`)

func problemOf(parse toml.ParseError) string {
	if parse.Message != "" {
		return parse.Message
	}
	return parse.Error()
}

// linesOf returns the line of each top-level key.
func linesOf(text string) map[string]int {
	lines := make(map[string]int)
	for i, line := range strings.Split(text, "\n") {
		if key, _, ok := strings.Cut(line, "="); ok {
			key = strings.Trim(strings.TrimSpace(key), `"'`)
			if _, known := lines[key]; !known {
				lines[key] = i + 1
			}
		}
	}
	return lines
}

func isKey(name string) bool { return slices.Contains(Keys(), name) }
