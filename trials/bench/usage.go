package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// usage is what a daemon has used since its start.
type usage struct {
	seconds     float64
	allocations float64
	bytes       float64
	resident    float64
}

// usageOf reads the usage from the daemon's page of metrics.
func usageOf(node node) (usage, error) {
	response, err := http.Get("http://" + node.admin + "/metrics")
	if err != nil {
		return usage{}, fmt.Errorf("read the metrics of %s: %w", node.name, err)
	}
	defer func() { _ = response.Body.Close() }()
	return parseUsage(response.Body)
}

func parseUsage(page io.Reader) (usage, error) {
	var found usage
	wanted := map[string]*float64{
		"process_cpu_seconds_total": &found.seconds, "go_memstats_mallocs_total": &found.allocations,
		"go_memstats_alloc_bytes_total": &found.bytes, "process_resident_memory_bytes": &found.resident,
	}
	lines := bufio.NewScanner(page)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		target, isWanted := wanted[name]
		if !ok || !isWanted {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return usage{}, fmt.Errorf("metric %s: %w", name, err)
		}
		*target = number
	}
	return found, lines.Err()
}

func (usage usage) since(earlier usage) usage {
	usage.seconds -= earlier.seconds
	usage.allocations -= earlier.allocations
	usage.bytes -= earlier.bytes
	return usage
}
