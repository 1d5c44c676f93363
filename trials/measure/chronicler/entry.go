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

// ErrNoScores says that a journal has no finished score of the site.
var ErrNoScores = errors.New("the journal has no finished score of this site")

// entryFile is an entry as the bench writes it.
type entryFile struct {
	ID       string   `json:"id"`
	At       []string `json:"at"`
	Command  string   `json:"cmd"`
	Why      string   `json:"why"`
	Site     string   `json:"site"`
	Finished bool     `json:"ok"`
	Score    float64  `json:"score"`
	Days     []struct {
		Name string `json:"name"`
		Slot string `json:"slot"`
		// Worth is the credit less prices over the credit owed.
		Worth float64 `json:"G"`
		// Rules are those that were broken.
		Rules map[string]any `json:"rules"`
	} `json:"days"`
}

// Entry is one score of a site.
type Entry struct {
	id, why string
	score   float64
	worths  map[string]float64
	broken  bool
}

// ID returns the name of the entry.
func (entry Entry) ID() string { return entry.id }

// Why returns what the run was made for.
func (entry Entry) Why() string { return entry.why }

// Score returns the score of the site, from zero to one.
func (entry Entry) Score() float64 { return entry.score }

// Worth returns the worth of a day; it is false for a day that was not played.
func (entry Entry) Worth(day string) (float64, bool) {
	worth, ok := entry.worths[day]
	return worth, ok
}

// IsBroken reports whether a rule was broken on one of the days.
func (entry Entry) IsBroken() bool { return entry.broken }

// Read returns the scores of a site in the order in which they were made, and the names of their standard days.
func Read(folder, site string) ([]Entry, []string, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	// The names of the files begin with the time.
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

// isFresh reports whether a day was drawn for one run only.
func isFresh(day string) bool { return strings.HasPrefix(day, "fresh") }

func readFile(path string) (entryFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return entryFile{}, fmt.Errorf("journal: %w", err)
	}
	var file entryFile
	if err := json.Unmarshal(text, &file); err != nil {
		return entryFile{}, fmt.Errorf("journal entry %s: %w", path, err)
	}
	return file, nil
}

func (entryfile entryFile) entry() Entry {
	made := Entry{id: entryfile.ID, why: entryfile.Why, score: entryfile.Score, worths: map[string]float64{}}
	for _, day := range entryfile.Days {
		if !isFresh(day.Name) {
			made.worths[day.Name] = day.Worth
		}
		made.broken = made.broken || len(day.Rules) > 0
	}
	return made
}
