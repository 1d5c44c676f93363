package reporter

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

const (
	// reportInterval is the interval at which values are reported to the Prometheus registry.
	reportInterval = time.Second
	// defaultMaxTenants limits the tenants with a label of their own unless the configuration sets a limit.
	defaultMaxTenants = 200
)

// Labels of requests whose tenant or class has no label of its own.
const (
	// tenantOther is the label of tenants beyond the limit and of unknown ones.
	tenantOther = "other"
	// tenantElsewhere is the label of tenants whose home regions do not include this one.
	tenantElsewhere = "elsewhere"
	// classNone is the label of requests that matched no route.
	classNone = "none"
)

// Config holds the dependencies and limits of a Reporter.
type Config struct {
	// Snapshots returns the published set and this instance's region.
	Snapshots lagoonlanding.Source[*router.Snapshot]
	// UpstreamLoad returns the concurrency limit of the backend server and the numbers of requests in flight and waiting; nil disables these metrics.
	UpstreamLoad func() (limit, inFlight, waiting int)
	// MaxTenants limits the tenants with a label of their own; zero means the default.
	MaxTenants int
	// OnError is called when a metric cannot be registered.
	OnError func(error)
}

// Reporter records the replies to callers and the state of the daemon; it is safe for concurrent use.
type Reporter struct {
	config         Config
	scope          tally.Scope
	closer         io.Closer
	handler        http.Handler
	controlMetrics *controlMetrics

	mutex   sync.RWMutex
	tenants map[string]bool
	series  map[labels]series
}

var _ lagoonlanding.Meter = (*Reporter)(nil)

// labels identify one series of requests.
type labels struct {
	tenant  string
	class   string
	outcome lagoonlanding.Outcome
	reason  lagoonlanding.Reason
}

// series holds the metrics of requests with the same labels.
type series struct {
	latency  tally.Histogram
	requests tally.Counter
}

// New returns a Reporter with the given configuration.
func New(config Config) *Reporter {
	if config.MaxTenants == 0 {
		config.MaxTenants = defaultMaxTenants
	}
	registry := client.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	cachedReporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry, Gatherer: registry, OnRegisterError: config.OnError,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "lagoond", CachedReporter: cachedReporter, Separator: prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Reporter{
		config: config, scope: scope, closer: closer, handler: cachedReporter.HTTPHandler(), controlMetrics: newControlMetrics(scope),
		tenants: make(map[string]bool), series: make(map[labels]series),
	}
}

// Handler returns the HTTP handler that serves the metrics.
func (reporter *Reporter) Handler() http.Handler { return reporter.handler }

// Close reports the last values and stops the reporting.
func (reporter *Reporter) Close() error {
	if err := reporter.closer.Close(); err != nil {
		return fmt.Errorf("close the metrics: %w", err)
	}
	return nil
}

// Finished records the reply and its latency.
func (reporter *Reporter) Finished(request lagoonlanding.Request, reply lagoonlanding.Reply, latency time.Duration) {
	series := reporter.seriesFor(labels{
		tenant: reporter.tenantLabel(request), class: classLabel(request), outcome: reply.Outcome(), reason: reply.Reason(),
	})
	series.requests.Inc(1)
	series.latency.RecordDuration(latency)
}

// Retried counts a retry of a request that was refused for the reason.
func (reporter *Reporter) Retried(reason lagoonlanding.Reason) {
	reporter.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("retries").Inc(1)
}

func classLabel(request lagoonlanding.Request) string {
	if request.Class() == "" {
		return classNone
	}
	return request.Class()
}

// tenantLabel returns the tenant's name only within its home regions and for at most MaxTenants tenants.
func (reporter *Reporter) tenantLabel(request lagoonlanding.Request) string {
	snapshot := reporter.config.Snapshots.Current()
	if request.Tenant() == "" || snapshot.Set() == nil {
		return tenantOther
	}
	workspace, ok := snapshot.Set().Workspace(request.Key().Workspace())
	if !ok {
		return tenantOther
	}
	if !workspace.Permits(snapshot.Self().Region()) {
		return tenantElsewhere
	}
	if reporter.assignLabel(request.Tenant()) {
		return request.Tenant()
	}
	return tenantOther
}

// assignLabel assigns the tenant a label of its own while the limit allows, and reports whether it has one.
func (reporter *Reporter) assignLabel(tenant string) bool {
	reporter.mutex.RLock()
	known := reporter.tenants[tenant]
	isFull := len(reporter.tenants) >= reporter.config.MaxTenants
	reporter.mutex.RUnlock()
	if known || isFull {
		return known
	}
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	if len(reporter.tenants) >= reporter.config.MaxTenants {
		return reporter.tenants[tenant]
	}
	reporter.tenants[tenant] = true
	return true
}

// seriesFor returns the series with the labels and registers it at its first use.
func (reporter *Reporter) seriesFor(key labels) series {
	reporter.mutex.RLock()
	found, ok := reporter.series[key]
	reporter.mutex.RUnlock()
	if ok {
		return found
	}
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	if found, ok := reporter.series[key]; ok {
		return found
	}
	byTenant := reporter.scope.Tagged(map[string]string{"tenant": key.tenant, "class": key.class})
	byReason := byTenant.Tagged(map[string]string{"outcome": key.outcome.String(), "reason": string(key.reason)})
	found = series{
		latency:  byTenant.Histogram("request_seconds", latencyBuckets),
		requests: byReason.Counter("requests"),
	}
	reporter.series[key] = found
	return found
}

// latencyBuckets are the upper bounds of the buckets, which are narrow around the latency objective, a 99th percentile of 13 ms.
var latencyBuckets = tally.DurationBuckets{
	500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond, 3 * time.Millisecond, 5 * time.Millisecond,
	8 * time.Millisecond, 10 * time.Millisecond, 13 * time.Millisecond, 20 * time.Millisecond, 35 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
}
