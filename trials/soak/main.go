package main

import (
	"flag"
	"fmt"
	"os"
	"slices"

	"lagoonlanding.example/soak/drawer"
	"lagoonlanding.example/soak/mutator"
	"lagoonlanding.example/soak/player"
	"lagoonlanding.example/soak/shrinker"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the run")
	steps := flag.Int("steps", 4000, "number of events")
	trace := flag.Bool("trace", false, "print the trace")
	shrink := flag.Int("shrink", 60, "number of tries to find a shorter run after a violation")
	mutants := flag.Int("mutants", 0, "number of seeds to try against each mutant; zero for a plain run")
	only := flag.String("mutant", "", "the only mutant to try")
	root := flag.String("root", "../..", "folder of the router's module, for mutants")
	flag.Parse()
	if *mutants > 0 {
		os.Exit(tryMutants(mutator.Config{Root: *root, Seeds: *mutants, Steps: *steps, Only: *only}))
	}
	os.Exit(play(*seed, *steps, *shrink, *trace))
}

func tryMutants(config mutator.Config) int {
	survivors, err := mutator.Run(config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	fmt.Printf("%d mutants survived\n", survivors)
	return min(survivors, 1)
}

func play(seed uint64, steps, tries int, trace bool) int {
	config := player.Config{Seed: seed}
	if trace {
		config.Note = func(line string) { fmt.Println(line) }
	}
	events := drawer.Generate(seed, steps)
	report := player.New(config).Play(events)
	if len(report.Violations) > 0 && tries > 0 {
		shorten(seed, events[:report.Steps], report, tries)
	}
	print(seed, report)
	return min(len(report.Violations), 1)
}

// shorten prints the shortest run that it finds to break the same rule.
func shorten(seed uint64, events []drawer.Event, report player.Report, tries int) {
	rule := report.Violations[0].Rule()
	shortest := shrinker.Shrink(events, tries, func(candidate []drawer.Event) bool {
		found := player.New(player.Config{Seed: seed}).Play(candidate).Violations
		return len(found) > 0 && found[0].Rule() == rule
	})
	fmt.Printf("%d of %d events break the same rule:\n", len(shortest), len(events))
	for _, event := range shortest {
		fmt.Println("  ", event)
	}
	fmt.Println("the end of their trace:")
	var lines []string
	player.New(player.Config{Seed: seed, Note: func(line string) { lines = append(lines, line) }}).Play(shortest)
	for _, line := range lines[max(0, len(lines)-traceEnd):] {
		fmt.Println("  ", line)
	}
}

// traceEnd is how many lines of a shortened trace are printed.
const traceEnd = 40

func print(seed uint64, report player.Report) {
	var names []string
	for name := range report.Counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Printf("%-40s %d\n", name, report.Counts[name])
	}
	for _, violation := range report.Violations {
		fmt.Println("violation:", violation)
	}
	fmt.Printf("seed %d, %d steps, %d violations, digest %s\n", seed, report.Steps, len(report.Violations), report.Digest)
}
