package main

import (
	"strings"
	"testing"
	"time"
)

func TestPacedLoadSpacesRequestsEvenly(t *testing.T) {
	load := load{workers: 4, rate: 1000}
	started := time.Unix(1000, 0)
	for _, test := range []struct {
		index, count int
		want         time.Duration
	}{{0, 0, 0}, {3, 0, 3 * time.Millisecond}, {0, 1, 4 * time.Millisecond}, {2, 10, 42 * time.Millisecond}} {
		if got := load.due(test.index, test.count, started).Sub(started); got != test.want {
			t.Errorf("request %d of worker %d is due after %v, want %v", test.count, test.index, got, test.want)
		}
	}
}

func TestParseUsage(t *testing.T) {
	page := "# HELP x y\nprocess_cpu_seconds_total 1.5\ngo_memstats_mallocs_total 2e+06\nprocess_resident_memory_bytes 3\nother 4\n"
	got, err := parseUsage(strings.NewReader(page))
	if err != nil || got.cpuSeconds != 1.5 || got.mallocs != 2e6 || got.residentBytes != 3 {
		t.Errorf("got %+v, %v", got, err)
	}
	if _, err := parseUsage(strings.NewReader("process_cpu_seconds_total much\n")); err == nil {
		t.Error("a malformed metric was accepted")
	}
}
