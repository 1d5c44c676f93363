package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// usage is the resource usage of a daemon since its start.
type usage struct {
	cpuSeconds     float64
	mallocs        float64
	allocatedBytes float64
	residentBytes  float64
}

// readUsage reads the usage from the daemon's metrics endpoint.
func readUsage(node node) (usage, error) {
	response, err := http.Get("http://" + node.admin + "/metrics")
	if err != nil {
		return usage{}, fmt.Errorf("read the metrics of %s: %w", node.name, err)
	}
	defer func() { _ = response.Body.Close() }()
	return parseUsage(response.Body)
}

func parseUsage(page io.Reader) (usage, error) {
	var parsed usage
	targets := map[string]*float64{
		"process_cpu_seconds_total": &parsed.cpuSeconds, "go_memstats_mallocs_total": &parsed.mallocs,
		"go_memstats_alloc_bytes_total": &parsed.allocatedBytes, "process_resident_memory_bytes": &parsed.residentBytes,
	}
	lines := bufio.NewScanner(page)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		target, isKnown := targets[name]
		if !ok || !isKnown {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return usage{}, fmt.Errorf("parse the metric %s: %w", name, err)
		}
		*target = number
	}
	return parsed, lines.Err()
}

// since returns the usage after an earlier reading; the resident memory is not a counter and stays as it is.
func (usage usage) since(earlier usage) usage {
	usage.cpuSeconds -= earlier.cpuSeconds
	usage.mallocs -= earlier.mallocs
	usage.allocatedBytes -= earlier.allocatedBytes
	return usage
}
