package main

import (
	"flag"
	"fmt"
	"os"
	"slices"

	"lagoonlanding.example/soak/generator"
	"lagoonlanding.example/soak/mutator"
	"lagoonlanding.example/soak/shrinker"
	"lagoonlanding.example/soak/simulator"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the run")
	steps := flag.Int("steps", 4000, "number of events")
	trace := flag.Bool("trace", false, "print the trace")
	shrink := flag.Int("shrink", 60, "maximum number of attempts to find a shorter run after a violation")
	mutants := flag.Int("mutants", 0, "number of seeds to run against each mutant; zero for a plain run")
	only := flag.String("mutant", "", "name of the only mutant to test")
	root := flag.String("root", "../..", "folder of the router's module, for mutants")
	flag.Parse()
	if *mutants > 0 {
		os.Exit(testMutants(mutator.Config{Root: *root, Seeds: *mutants, Steps: *steps, Only: *only}))
	}
	os.Exit(run(*seed, *steps, *shrink, *trace))
}

func testMutants(config mutator.Config) int {
	survivors, err := mutator.Run(config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	fmt.Printf("%d mutants survived\n", survivors)
	return min(survivors, 1)
}

func run(seed uint64, steps, maxAttempts int, trace bool) int {
	config := simulator.Config{Seed: seed}
	if trace {
		config.Trace = func(line string) { fmt.Println(line) }
	}
	events := generator.Generate(seed, steps)
	report := simulator.New(config).Run(events)
	if len(report.Violations) > 0 && maxAttempts > 0 {
		printShrunk(seed, events[:report.Steps], report, maxAttempts)
	}
	print(seed, report)
	return min(len(report.Violations), 1)
}

// printShrunk prints the shortest run found that breaks the same rule, and the end of its trace.
func printShrunk(seed uint64, events []generator.Event, report simulator.Report, maxAttempts int) {
	rule := report.Violations[0].Rule()
	shortest := shrinker.Shrink(events, maxAttempts, func(candidate []generator.Event) bool {
		found := simulator.New(simulator.Config{Seed: seed}).Run(candidate).Violations
		return len(found) > 0 && found[0].Rule() == rule
	})
	fmt.Printf("%d of %d events break the same rule:\n", len(shortest), len(events))
	for _, event := range shortest {
		fmt.Println("  ", event)
	}
	fmt.Println("end of their trace:")
	var lines []string
	simulator.New(simulator.Config{Seed: seed, Trace: func(line string) { lines = append(lines, line) }}).Run(shortest)
	for _, line := range lines[max(0, len(lines)-maxTraceLines):] {
		fmt.Println("  ", line)
	}
}

// maxTraceLines is the number of lines that are printed from the end of a trace.
const maxTraceLines = 40

// print prints the counts, the violations and the digest of a run.
func print(seed uint64, report simulator.Report) {
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
