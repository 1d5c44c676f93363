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

// Override replaces the value of a setting by that of a flag or an environment variable.
type Override struct {
	key   string
	value string
}

// NewOverride returns an override of the setting with the key.
func NewOverride(key, value string) Override { return Override{key: key, value: value} }

// Keys returns the keys of all settings in the order of their declaration.
func Keys() []string {
	var keys []string
	for field := range reflect.TypeFor[rawSettings]().Fields() {
		keys = append(keys, field.Tag.Get("toml"))
	}
	return keys
}

// Load reads the file, applies the overrides and validates the settings; errors other than file errors are Faults.
func Load(path string, overrides []Override) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, string(data), overrides)
}

// Parse is like Load for a text in memory; file is the name used in faults.
func Parse(file, text string, overrides []Override) (Settings, error) {
	rawsettings := defaults()
	meta, err := toml.Decode(text, &rawsettings)
	if err != nil {
		return Settings{}, Faults{decodeFault(file, err)}
	}
	checker := &checker{file: file, lines: keyLines(text), raw: &rawsettings, overridden: make(map[string]bool)}
	for _, key := range meta.Undecoded() {
		checker.addFault(key.String(), "unknown setting")
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

func decodeFault(file string, err error) Fault {
	var parseError toml.ParseError
	if errors.As(err, &parseError) {
		return Fault{file: file, line: parseError.Position.Line, key: parseError.LastKey, problem: parseMessage(parseError)}
	}
	if parts := typeErrorPattern.FindStringSubmatch(err.Error()); parts != nil {
		line, _ := strconv.Atoi(parts[1])
		return Fault{file: file, line: line, key: parts[2], problem: parts[3]}
	}
	return Fault{file: file, problem: err.Error()}
}

// typeErrorPattern matches the TOML library's untyped error for a value of the wrong type.
var typeErrorPattern = regexp.MustCompile(`line (\d+) \(last key "([^"]+)"\): (.*)`)

func parseMessage(parseError toml.ParseError) string {
	if parseError.Message != "" {
		return parseError.Message
	}
	return parseError.Error()
}

// keyLines returns the line number of each top-level key.
func keyLines(text string) map[string]int {
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

func isSettingKey(name string) bool { return slices.Contains(Keys(), name) }
