package mutator

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
)

// Config holds the parameters of a mutation test.
type Config struct {
	// Root is the folder of the router's module.
	Root string
	// Seeds is the maximum number of seeds to run for each mutant.
	Seeds int
	// Steps is the number of events of each run.
	Steps int
	// Only is the name of the only mutant to test, empty for all.
	Only string
}

// maxParallel bounds the mutants that are tested concurrently.
const maxParallel = 3

// Run tests all mutants, prints a line for each, and returns the number of survivors.
//
// A survivor is a mutant that no seed detects; one that cannot be built or fails without a violation counts too.
func Run(config Config) (int, error) {
	folder, err := os.MkdirTemp("", "soak-mutants")
	if err != nil {
		return 0, fmt.Errorf("create temporary directory for mutants: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	results := make([]string, len(mutants))
	survivors := make([]bool, len(mutants))
	slots := make(chan struct{}, maxParallel)
	var waitgroup sync.WaitGroup
	for i, mutant := range mutants {
		if config.Only != "" && config.Only != mutant.name {
			continue
		}
		waitgroup.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i], survivors[i] = config.test(mutant, filepath.Join(folder, mutant.name))
			fmt.Println(results[i])
		})
	}
	waitgroup.Wait()
	count := 0
	for _, survived := range survivors {
		if survived {
			count++
		}
	}
	return count, nil
}

// test builds and runs the mutant and returns its result line and whether it survived.
func (config Config) test(mutant mutant, folder string) (string, bool) {
	program, err := config.build(mutant, folder)
	if err != nil {
		return fmt.Sprintf("%-34s not built: %v", mutant.name, err), true
	}
	for seed := 1; seed <= config.Seeds; seed++ {
		output, err := exec.Command(program, "-seed", strconv.Itoa(seed), "-steps", strconv.Itoa(config.Steps), "-shrink=0").CombinedOutput()
		if err == nil {
			continue
		}
		for line := range strings.Lines(string(output)) {
			if strings.HasPrefix(line, "violation:") {
				return fmt.Sprintf("%-34s caught by seed %d: %s", mutant.name, seed, strings.TrimSpace(line)), false
			}
		}
		return fmt.Sprintf("%-34s failed with seed %d without a violation", mutant.name, seed), true
	}
	return fmt.Sprintf("%-34s SURVIVED %d seeds", mutant.name, config.Seeds), true
}

// build compiles the soak with the mutant's changes as an overlay of the sources.
func (config Config) build(mutant mutant, folder string) (string, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", err
	}
	replaced := make(map[string]string)
	for i, change := range mutant.changes {
		original := filepath.Join(config.Root, change.file)
		source := original
		if patched, ok := replaced[original]; ok {
			source = patched
		}
		text, err := os.ReadFile(source)
		if err != nil {
			return "", err
		}
		if strings.Count(string(text), change.before) != 1 {
			return "", fmt.Errorf("%q does not occur exactly once in %s", change.before, change.file)
		}
		replaced[original] = filepath.Join(folder, fmt.Sprintf("%d.go", i))
		patched := strings.Replace(string(text), change.before, change.after, 1)
		if err := os.WriteFile(replaced[original], []byte(patched), 0o644); err != nil {
			return "", err
		}
	}
	overlay, err := json.Marshal(map[string]any{"Replace": replaced})
	if err != nil {
		return "", err
	}
	overlayPath := filepath.Join(folder, "overlay.json")
	if err := os.WriteFile(overlayPath, overlay, 0o644); err != nil {
		return "", err
	}
	program := filepath.Join(folder, "soak")
	command := exec.Command("go", "build", "-overlay", overlayPath, "-o", program, ".")
	command.Dir = filepath.Join(config.Root, "trials", "soak")
	if output, err := command.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return program, nil
}
