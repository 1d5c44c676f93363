package checker

import (
	"os"
	"path/filepath"
	"testing"

	"lagoonlanding.example/demo/caller"
	"lagoonlanding.example/demo/deployer"
)

func TestCheckFindsViolations(t *testing.T) {
	plan, err := deployer.NewPlan("karotsaki")
	if err != nil {
		t.Fatal(err)
	}
	run := func(key, workspace, region string) Run {
		return Run{idempotencyKey: key, workspace: workspace, region: region}
	}
	write := func(key string, outcome caller.Outcome) caller.Result {
		return caller.NewResult(caller.ResultConfig{IdempotencyKey: key, Write: true, Outcome: outcome})
	}
	cases := []struct {
		name    string
		results []caller.Result
		runs    []Run
		clean   bool
	}{
		{"answered and run", []caller.Result{write("a", caller.OutcomeAnswered)}, []Run{run("a", "mesh", "attica")}, true},
		{"unknown and run", []caller.Result{write("a", caller.OutcomeUnknown)}, []Run{run("a", "harbour", "attica")}, true},
		{"unknown and not run", []caller.Result{write("a", caller.OutcomeUnknown)}, nil, true},
		{"refused and not run", []caller.Result{write("a", caller.OutcomeNotRun)}, nil, true},
		{"doubled", []caller.Result{write("a", caller.OutcomeAnswered)}, []Run{run("a", "mesh", "attica"), run("a", "mesh", "macedonia")}, false},
		{"lost", []caller.Result{write("a", caller.OutcomeAnswered)}, nil, false},
		{"refused but run", []caller.Result{write("a", caller.OutcomeNotRun)}, []Run{run("a", "mesh", "attica")}, false},
		{"outside its region", nil, []Run{run("", "harbour", "macedonia")}, false},
		{"mismatched", []caller.Result{caller.NewResult(caller.ResultConfig{Outcome: caller.OutcomeMismatched})}, nil, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if verdict := Check(plan, test.results, test.runs); verdict.IsClean() != test.clean {
				t.Errorf("clean %v: %+v", verdict.IsClean(), verdict)
			}
		})
	}
}

func TestReadRuns(t *testing.T) {
	directory := t.TempDir()
	line := `{"idempotency-key":"i","key":"mesh/k-1","server":"s","region":"attica","started":"2026-01-01T00:00:00Z"}` + "\n"
	if err := os.WriteFile(filepath.Join(directory, "s.jsonl"), []byte(line+line), 0o600); err != nil {
		t.Fatal(err)
	}
	runs, err := ReadRuns(directory)
	if err != nil || len(runs) != 2 || runs[0].workspace != "mesh" || runs[0].idempotencyKey != "i" {
		t.Fatalf("got %+v, %v", runs, err)
	}
	if err := os.WriteFile(filepath.Join(directory, "t.jsonl"), []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadRuns(directory); err == nil {
		t.Error("a malformed line was accepted")
	}
}
