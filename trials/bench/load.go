package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the highest latency that the histograms record, and the timeout of a request.
	maxLatency = 10 * time.Second
	// significantDigits is the precision of the recorded latencies.
	significantDigits = 3
)

// load is a stream of requests for a set of keys to one address.
type load struct {
	address string
	keys    []string
	workers int
	// rate is the number of requests per second of all workers together; zero sends them without pacing.
	rate int
}

// result holds the measurements of a load.
type result struct {
	latencies *hdrhistogram.Histogram
	failed    int
	elapsed   time.Duration
}

// perSecond returns the number of answered requests per second.
func (result result) perSecond() float64 {
	return float64(result.latencies.TotalCount()) / result.elapsed.Seconds()
}

func (result result) percentile(percent float64) time.Duration {
	return time.Duration(result.latencies.ValueAtPercentile(percent))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency), significantDigits)
}

// run sends requests for the duration.
func (load load) run(ctx context.Context, duration time.Duration) result {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: load.workers}, Timeout: maxLatency}
	defer client.CloseIdleConnections()
	started := time.Now()
	results := make([]result, load.workers)
	var workers sync.WaitGroup
	for index := range load.workers {
		workers.Go(func() { results[index] = load.runWorker(ctx, client, index, started, duration) })
	}
	workers.Wait()
	total := result{latencies: newHistogram(), elapsed: time.Since(started)}
	for _, result := range results {
		total.latencies.Merge(result.latencies)
		total.failed += result.failed
	}
	return total
}

// runWorker sends the requests of one worker; the latency of a request that is sent late counts from its scheduled time.
func (load load) runWorker(ctx context.Context, client *http.Client, index int, started time.Time, duration time.Duration) result {
	result := result{latencies: newHistogram()}
	for count := 0; ctx.Err() == nil; count++ {
		due := load.due(index, count, started)
		if due.Sub(started) >= duration || time.Since(started) >= duration {
			break
		}
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
			due = time.Now()
		}
		key := load.keys[(index+count*load.workers)%len(load.keys)]
		response, err := get(client, "http://"+load.address+"/tags/"+key)
		if err != nil || response.StatusCode != http.StatusOK {
			result.failed++
			continue
		}
		_ = result.latencies.RecordValue(int64(time.Since(due)))
	}
	return result
}

// due returns the scheduled time of a worker's request, which is now for a load without a rate.
func (load load) due(index, count int, started time.Time) time.Time {
	if load.rate == 0 {
		return time.Now()
	}
	interval := time.Second / time.Duration(load.rate)
	return started.Add(time.Duration(index+count*load.workers) * interval)
}

// get sends one request and discards the response body.
func get(client *http.Client, url string) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("create the request: %w", err)
	}
	request.Header.Set("Lagoonlanding-Tenant", tenantName)
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send the request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}
