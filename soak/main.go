// Command soak plays a long randomised run of a fleet in one process and checks what must always hold.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"

	"lagoonlanding.example/soak/drawer"
	"lagoonlanding.example/soak/player"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the run")
	steps := flag.Int("steps", 4000, "number of events")
	verbose := flag.Bool("trace", false, "print the trace")
	flag.Parse()
	config := player.Config{Seed: *seed}
	if *verbose {
		config.Note = func(line string) { fmt.Println(line) }
	}
	report := player.New(config).Play(drawer.Draw(*seed, *steps))
	print(*seed, report)
	if len(report.Violations) > 0 {
		os.Exit(1)
	}
}

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
