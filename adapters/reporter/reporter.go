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
	// reportInterval is the time between two hand-overs of counts to the page of metrics.
	reportInterval = time.Second
	// defaultMaxTenants bounds the tenants with labels of their own if the configuration names no bound.
	defaultMaxTenants = 200
)

// The labels that stand for tenants without one of their own.
const (
	// tenantOther stands for tenants beyond the bound, and for unknown ones.
	tenantOther = "other"
	// tenantElsewhere stands for tenants whose home regions do not include this one.
	tenantElsewhere = "elsewhere"
	// classNone stands for requests that matched no route.
	classNone = "none"
)

// Config holds what a Reporter works with.
type Config struct {
	// Snapshots gives the published set and this instance's region.
	Snapshots lagoonlanding.Source[*router.Snapshot]
	// UpstreamLoad returns the limit of requests at the backend server, those in flight and those that wait; nil for none.
	UpstreamLoad func() (limit, inFlight, waiting int)
	// MaxTenants bounds the tenants with labels of their own; zero for the default.
	MaxTenants int
	// Failed is told of a metric that cannot be registered.
	Failed func(error)
}

// Reporter counts what callers get; it is safe for use by many goroutines.
type Reporter struct {
	config  Config
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
	control *control

	mutex   sync.RWMutex
	tenants map[string]bool
	series  map[labels]series
}

var _ lagoonlanding.Meter = (*Reporter)(nil)

// labels name one series of requests.
type labels struct {
	tenant  string
	class   string
	outcome lagoonlanding.Outcome
	reason  lagoonlanding.Reason
}

// series are the metrics of requests with the same labels.
type series struct {
	latency  tally.Histogram
	requests tally.Counter
}

// New returns a reporter that has counted nothing yet.
func New(config Config) *Reporter {
	if config.MaxTenants == 0 {
		config.MaxTenants = defaultMaxTenants
	}
	registry := client.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	sink := prometheus.NewReporter(prometheus.Options{
		Registerer: registry, Gatherer: registry, OnRegisterError: config.Failed,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "lagoond", CachedReporter: sink, Separator: prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Reporter{
		config: config, scope: scope, closer: closer, handler: sink.HTTPHandler(), control: newControl(scope),
		tenants: make(map[string]bool), series: make(map[labels]series),
	}
}

// Handler returns the page of metrics.
func (reporter *Reporter) Handler() http.Handler { return reporter.handler }

// Close ends the reporter.
func (reporter *Reporter) Close() error {
	if err := reporter.closer.Close(); err != nil {
		return fmt.Errorf("close the metrics: %w", err)
	}
	return nil
}

// Finished counts the reply and its latency.
func (reporter *Reporter) Finished(request lagoonlanding.Request, reply lagoonlanding.Reply, took time.Duration) {
	series := reporter.find(labels{
		tenant: reporter.tenantLabel(request), class: classLabel(request), outcome: reply.Outcome(), reason: reply.Reason(),
	})
	series.requests.Inc(1)
	series.latency.RecordDuration(took)
}

// Retried counts a further attempt at a request after a refusal.
func (reporter *Reporter) Retried(reason lagoonlanding.Reason) {
	reporter.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("retries").Inc(1)
}

func classLabel(request lagoonlanding.Request) string {
	if request.Class() == "" {
		return classNone
	}
	return request.Class()
}

// tenantLabel names the tenant only within its home regions, and only up to the bound.
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
	if reporter.admit(request.Tenant()) {
		return request.Tenant()
	}
	return tenantOther
}

func (reporter *Reporter) admit(tenant string) bool {
	reporter.mutex.RLock()
	known := reporter.tenants[tenant]
	full := len(reporter.tenants) >= reporter.config.MaxTenants
	reporter.mutex.RUnlock()
	if known || full {
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

func (reporter *Reporter) find(key labels) series {
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

// latencyBuckets are fine around the 13 ms within which 99 of 100 requests are to be answered.
var latencyBuckets = tally.DurationBuckets{
	500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond, 3 * time.Millisecond, 5 * time.Millisecond,
	8 * time.Millisecond, 10 * time.Millisecond, 13 * time.Millisecond, 20 * time.Millisecond, 35 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
}
