package chronicler

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// ErrNoScores means that a journal contains no finished score of the site.
var ErrNoScores = errors.New("the journal contains no finished score of this site")

// entryFile is the JSON format of a journal entry of the users' bench.
type entryFile struct {
	ID       string   `json:"id"`
	At       []string `json:"at"`
	Command  string   `json:"cmd"`
	Reason   string   `json:"why"`
	Site     string   `json:"site"`
	Finished bool     `json:"ok"`
	Score    float64  `json:"score"`
	Days     []struct {
		Name string `json:"name"`
		Slot string `json:"slot"`
		// Worth is the credit minus the prices, divided by the credit owed.
		Worth float64 `json:"G"`
		// Rules are the violated rules.
		Rules map[string]any `json:"rules"`
	} `json:"days"`
}

// Entry is one score of a site.
type Entry struct {
	id, reason string
	score      float64
	worthByDay map[string]float64
	violated   bool
}

// ID returns the identifier of the entry.
func (entry Entry) ID() string { return entry.id }

// Reason returns the purpose of the run.
func (entry Entry) Reason() string { return entry.reason }

// Score returns the score of the site, from zero to one.
func (entry Entry) Score() float64 { return entry.score }

// Worth returns the worth of a day, or false if the day was not run.
func (entry Entry) Worth(day string) (float64, bool) {
	worth, ok := entry.worthByDay[day]
	return worth, ok
}

// HasViolation reports whether a rule was violated on one of the days.
func (entry Entry) HasViolation() bool { return entry.violated }

// Read returns the scores of a site in chronological order and the names of their standard days, which recur in each score.
func Read(folder, site string) ([]Entry, []string, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, nil, fmt.Errorf("read the journal: %w", err)
	}
	// The file names begin with the time.
	slices.Sort(paths)
	var entries []Entry
	var days []string
	for _, path := range paths {
		file, err := readFile(path)
		if err != nil {
			return nil, nil, err
		}
		if file.Command != "score" || !file.Finished || file.Site != site {
			continue
		}
		entries = append(entries, file.entry())
		for _, day := range file.Days {
			if !isFresh(day.Name) && !slices.Contains(days, day.Name) {
				days = append(days, day.Name)
			}
		}
	}
	if len(entries) == 0 {
		return nil, nil, fmt.Errorf("%s, %s: %w", folder, site, ErrNoScores)
	}
	return entries, days, nil
}

// isFresh reports whether a day was generated for one run only and thus cannot be compared.
func isFresh(day string) bool { return strings.HasPrefix(day, "fresh") }

func readFile(path string) (entryFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return entryFile{}, fmt.Errorf("read the journal: %w", err)
	}
	var file entryFile
	if err := json.Unmarshal(text, &file); err != nil {
		return entryFile{}, fmt.Errorf("parse the journal entry %s: %w", path, err)
	}
	return file, nil
}

func (entryfile entryFile) entry() Entry {
	entry := Entry{id: entryfile.ID, reason: entryfile.Reason, score: entryfile.Score, worthByDay: map[string]float64{}}
	for _, day := range entryfile.Days {
		if !isFresh(day.Name) {
			entry.worthByDay[day.Name] = day.Worth
		}
		entry.violated = entry.violated || len(day.Rules) > 0
	}
	return entry
}
