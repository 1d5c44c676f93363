package runner

import (
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding/platform/simulator"
)

func TestShortRunKeepsAllGuarantees(t *testing.T) {
	binaries := t.TempDir()
	build := exec.Command("go", "build", "-o", filepath.Join(binaries, "lagoonmesh"), "lagoonlanding.example/lagoonmesh")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	report, err := Run(t.Context(), Config{Seed: 1, Binaries: binaries, Logs: t.TempDir(), Daemons: 4, Faults: 4})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	for _, violation := range report.Violations() {
		t.Error(violation)
	}
	if t.Failed() {
		t.Log(report.Faults())
	}
	if report.statuses[200] == 0 {
		t.Error("no request was answered")
	}
}

func TestSameSeedDrawsTheSameFaults(t *testing.T) {
	draw := func(seed uint64) []string {
		fleet := &fleet{store: simulator.NewStore(), checker: simulator.NewChecker()}
		for range 6 {
			fleet.members = append(fleet.members, &member{name: "d", server: simulator.NewServer(simulator.ServerConfig{Checker: fleet.checker})})
		}
		injector := &injector{fleet: fleet, cuts: map[link]int{}, delays: map[string]time.Duration{}}
		var texts []string
		for _, fault := range injector.drawFaults(rand.New(rand.NewPCG(seed, 1)), 20, faultWindow) {
			texts = append(texts, fault.String())
		}
		return texts
	}
	first, second, other := draw(7), draw(7), draw(8)
	differs := false
	for index := range first {
		if first[index] != second[index] {
			t.Errorf("first draw gave %s, second %s", first[index], second[index])
		}
		differs = differs || first[index] != other[index]
	}
	if !differs {
		t.Error("another seed draws the same faults")
	}
}
