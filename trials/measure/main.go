package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"lagoonlanding.example/measure/experimenter"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of all draws")
	out := flag.String("out", "out", "folder for the drawings")
	only := flag.String("only", "", "name of the one experiment to run")
	flag.Parse()
	if err := run(os.Stdout, *seed, *out, *only); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(tables io.Writer, seed uint64, out, only string) error {
	for _, experiment := range experimenter.All() {
		if only != "" && only != experiment.Name() {
			continue
		}
		if _, err := fmt.Fprintf(tables, "\n### %s, seed %d\n", experiment.Name(), seed); err != nil {
			return err
		}
		result := experiment.Run(seed)
		for _, table := range result.Tables() {
			if err := table.Write(tables); err != nil {
				return err
			}
		}
		for _, drawing := range result.Drawings() {
			if err := drawing.Save(out); err != nil {
				return err
			}
		}
	}
	return nil
}
