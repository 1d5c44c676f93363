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

// Run is a line of a backend server's log.
type Run struct {
	idempotencyKey string
	workspace      string
	server         string
	region         string
	started        time.Time
}

type runJSON struct {
	IdempotencyKey string    `json:"idempotency-key"`
	Key            string    `json:"key"`
	Server         string    `json:"server"`
	Region         string    `json:"region"`
	Started        time.Time `json:"started"`
}

// Server returns the name of the backend server.
func (run Run) Server() string { return run.server }

// Started returns when the run started.
func (run Run) Started() time.Time { return run.started }

// ReadRuns returns the runs that the backend servers have written in the folder.
func ReadRuns(folder string) ([]Run, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.jsonl"))
	if err != nil {
		return nil, fmt.Errorf("find the logs of runs: %w", err)
	}
	var runs []Run
	for _, path := range paths {
		read, err := readFile(path)
		if err != nil {
			return nil, err
		}
		runs = append(runs, read...)
	}
	return runs, nil
}

func readFile(path string) ([]Run, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open a log of runs: %w", err)
	}
	defer func() { _ = file.Close() }()
	var runs []Run
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		run, err := parse(scanner.Bytes())
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		runs = append(runs, run)
	}
	return runs, scanner.Err()
}

func parse(line []byte) (Run, error) {
	var wire runJSON
	if err := json.Unmarshal(line, &wire); err != nil {
		return Run{}, fmt.Errorf("parse a run: %w", err)
	}
	workspace, _, _ := strings.Cut(wire.Key, "/")
	return Run{
		idempotencyKey: wire.IdempotencyKey, workspace: workspace, server: wire.Server, region: wire.Region, started: wire.Started,
	}, nil
}

// Verdict counts what must not happen.
type Verdict struct {
	doubled    []string
	lost       []string
	untrue     []string
	outside    int
	mismatched int
}

// Doubled returns the idempotency keys of operations that ran more than once.
func (verdict Verdict) Doubled() []string { return verdict.doubled }

// Lost returns the idempotency keys of operations that were answered but never ran.
func (verdict Verdict) Lost() []string { return verdict.lost }

// Untrue returns the idempotency keys of operations that ran although their callers were told not.
func (verdict Verdict) FalseRefusals() []string { return verdict.untrue }

// Outside returns how many runs were outside their home region.
func (verdict Verdict) OutsideHomeRegion() int { return verdict.outside }

// Mismatched returns how many answers were for another key.
func (verdict Verdict) MismatchedAnswers() int { return verdict.mismatched }

// IsClean reports whether nothing that must not happen has happened.
func (verdict Verdict) IsClean() bool {
	return len(verdict.doubled)+len(verdict.lost)+len(verdict.untrue)+verdict.outside+verdict.mismatched == 0
}

// Check compares the results of callers with the runs of backend servers.
func Check(plan deployer.Plan, results []caller.Result, runs []Run) Verdict {
	var verdict Verdict
	counts := make(map[string]int)
	for _, run := range runs {
		if home := plan.Home(run.workspace); home != "" && home != run.region {
			verdict.outside++
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
		verdict.mismatched++
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
		verdict.untrue = append(verdict.untrue, key)
	}
}
