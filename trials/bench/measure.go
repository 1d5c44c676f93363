package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"
)

// warmUp is the length of the load before the first measurement, during which the concurrency limit of the backend server grows.
const warmUp = 3 * time.Second

// path is one of the compared paths to the backend server: direct, or through one or two daemons.
type path struct {
	name    string
	address string
	// daemons are the ones that the requests pass through.
	daemons []node
}

// row holds the measurements of one path under one load.
type row struct {
	path   path
	load   string
	result result
	usages []usage
}

var errTooFewKeys = errors.New("a daemon owns none of the probed keys")

// measure sends the same loads over each path and prints a table of the results.
func measure(ctx context.Context, options options, fleet *fleet) error {
	owner, other := fleet.nodes[0], fleet.nodes[1]
	keys := fleet.keysByOwner()[owner.name]
	if len(keys) == 0 {
		return errTooFewKeys
	}
	paths := []path{
		{name: "direct", address: owner.backend},
		{name: "owner's daemon", address: owner.caller, daemons: []node{owner}},
		{name: "other daemon, owner's daemon", address: other.caller, daemons: []node{other, owner}},
	}
	load{address: other.caller, keys: keys, workers: options.workers}.run(ctx, warmUp)
	var rows []row
	for _, rate := range []int{options.rate, 0} {
		for _, path := range paths {
			row, err := measurePath(ctx, path, keys, rate, options)
			if err != nil {
				return err
			}
			rows = append(rows, row)
		}
	}
	return printTable(rows)
}

func measurePath(ctx context.Context, path path, keys []string, rate int, options options) (row, error) {
	before, err := readUsages(path.daemons)
	if err != nil {
		return row{}, err
	}
	load := load{address: path.address, keys: keys, workers: options.workers, rate: rate}
	result := load.run(ctx, options.duration)
	after, err := readUsages(path.daemons)
	if err != nil {
		return row{}, err
	}
	for i := range after {
		after[i] = after[i].since(before[i])
	}
	name := "as many as possible"
	if rate > 0 {
		name = fmt.Sprintf("%d/s", rate)
	}
	return row{path: path, load: name, result: result, usages: after}, ctx.Err()
}

func readUsages(nodes []node) ([]usage, error) {
	usages := make([]usage, len(nodes))
	for i, node := range nodes {
		var err error
		if usages[i], err = readUsage(node); err != nil {
			return nil, err
		}
	}
	return usages, nil
}

func printTable(rows []row) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "load\tpath\trequests/s\tfailed\tp50\tp99\tcores of each daemon\tCPU us per request\tallocations per request\tbytes per request\tMB resident")
	for _, row := range rows {
		count := float64(row.result.latencies.TotalCount())
		var cores, cost, allocations, bytes, resident string
		for _, usage := range row.usages {
			cores += fmt.Sprintf("%.2f ", usage.cpuSeconds/row.result.elapsed.Seconds())
			cost += fmt.Sprintf("%.0f ", usage.cpuSeconds*1e6/count)
			allocations += fmt.Sprintf("%.0f ", usage.mallocs/count)
			bytes += fmt.Sprintf("%.0f ", usage.allocatedBytes/count)
			resident += fmt.Sprintf("%.0f ", usage.residentBytes/(1<<20))
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.0f\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", row.load, row.path.name, row.result.perSecond(), row.result.failed,
			milliseconds(row.result.percentile(50)), milliseconds(row.result.percentile(99)), cores, cost, allocations, bytes, resident)
	}
	return table.Flush()
}

func milliseconds(duration time.Duration) string {
	return fmt.Sprintf("%.2f ms", float64(duration)/float64(time.Millisecond))
}
