package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"lagoonlanding.example/measure/chronicler"
	"lagoonlanding.example/measure/experimenter"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of all random numbers")
	out := flag.String("out", "out", "folder for the charts")
	only := flag.String("only", "", "name of the only experiment to run")
	journal := flag.String("journal", "", "folder of the journal of the users' bench; shows the scores of a site instead of running experiments")
	site := flag.String("site", "karotsaki-mesh-large", "site of which to show the scores")
	flag.Parse()
	var err error
	if *journal != "" {
		err = showHistory(os.Stdout, *journal, *site, *out)
	} else {
		err = run(os.Stdout, *seed, *out, *only)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// showHistory prints and draws the scores of a site in the journal.
func showHistory(tables io.Writer, journal, site, out string) error {
	entries, days, err := chronicler.Read(journal, site)
	if err != nil {
		return err
	}
	if err := chronicler.Table(site, entries, days).Write(tables); err != nil {
		return err
	}
	return chronicler.Chart(site, entries, days).Save(out)
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
		for _, chart := range result.Charts() {
			if err := chart.Save(out); err != nil {
				return err
			}
		}
	}
	return nil
}
