package checker

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"lagoonlanding.example/demo/caller"
	"lagoonlanding.example/demo/deployer"
)

// Run is an entry in the run log of a backend server.
type Run struct {
	idempotencyKey string
	workspace      string
	server         string
	region         string
	started        time.Time
}

// runJSON is the JSON format of a line in a run log.
type runJSON struct {
	IdempotencyKey string    `json:"idempotency-key"`
	Key            string    `json:"key"`
	Server         string    `json:"server"`
	Region         string    `json:"region"`
	Started        time.Time `json:"started"`
}

// Server returns the name of the backend server.
func (run Run) Server() string { return run.server }

// Started returns the time at which the run started.
func (run Run) Started() time.Time { return run.started }

// ReadRuns returns the runs in all run logs in the directory.
func ReadRuns(directory string) ([]Run, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*.jsonl"))
	if err != nil {
		return nil, fmt.Errorf("find the run logs: %w", err)
	}
	var runs []Run
	for _, path := range paths {
		fileRuns, err := readRunLog(path)
		if err != nil {
			return nil, err
		}
		runs = append(runs, fileRuns...)
	}
	return runs, nil
}

func readRunLog(path string) ([]Run, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open a run log: %w", err)
	}
	defer func() { _ = file.Close() }()
	var runs []Run
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		run, err := parseRun(scanner.Bytes())
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		runs = append(runs, run)
	}
	return runs, scanner.Err()
}

func parseRun(line []byte) (Run, error) {
	var wire runJSON
	if err := json.Unmarshal(line, &wire); err != nil {
		return Run{}, fmt.Errorf("parse a run: %w", err)
	}
	workspace, _, _ := strings.Cut(wire.Key, "/")
	return Run{
		idempotencyKey: wire.IdempotencyKey, workspace: workspace, server: wire.Server, region: wire.Region, started: wire.Started,
	}, nil
}

// Verdict holds the violations of the guarantees.
type Verdict struct {
	doubled           []string
	lost              []string
	falseRefusals     []string
	outsideHomeRegion int
	mismatchedAnswers int
}

// Doubled returns the idempotency keys of operations that ran more than once.
func (verdict Verdict) Doubled() []string { return verdict.doubled }

// Lost returns the idempotency keys of operations that were answered but never ran.
func (verdict Verdict) Lost() []string { return verdict.lost }

// FalseRefusals returns the idempotency keys of operations that ran although their callers were told that they did not.
func (verdict Verdict) FalseRefusals() []string { return verdict.falseRefusals }

// OutsideHomeRegion returns the number of runs outside their home region.
func (verdict Verdict) OutsideHomeRegion() int { return verdict.outsideHomeRegion }

// MismatchedAnswers returns the number of answers for another key.
func (verdict Verdict) MismatchedAnswers() int { return verdict.mismatchedAnswers }

// IsClean reports whether there was no violation.
func (verdict Verdict) IsClean() bool {
	return len(verdict.doubled)+len(verdict.lost)+len(verdict.falseRefusals)+verdict.outsideHomeRegion+verdict.mismatchedAnswers == 0
}

// Check compares the results of operations with the runs on the backend servers.
func Check(plan deployer.Plan, results []caller.Result, runs []Run) Verdict {
	var verdict Verdict
	counts := make(map[string]int)
	for _, run := range runs {
		if home := plan.Home(run.workspace); home != "" && home != run.region {
			verdict.outsideHomeRegion++
		}
		if run.idempotencyKey != "" {
			counts[run.idempotencyKey]++
		}
	}
	for _, result := range results {
		verdict.check(result, counts[result.Operation().IdempotencyKey()])
	}
	return verdict
}

func (verdict *Verdict) check(result caller.Result, runs int) {
	if result.Outcome() == caller.OutcomeMismatched {
		verdict.mismatchedAnswers++
	}
	operation := result.Operation()
	if !operation.IsWrite() {
		return
	}
	key := operation.IdempotencyKey()
	switch {
	case runs > 1:
		verdict.doubled = append(verdict.doubled, key)
	case runs == 0 && result.Outcome() == caller.OutcomeAnswered:
		verdict.lost = append(verdict.lost, key)
	case runs > 0 && result.Outcome() == caller.OutcomeNotRun:
		verdict.falseRefusals = append(verdict.falseRefusals, key)
	}
}
