package recorder

import (
	"net/http"
	"sync"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// reportInterval is the time between two hand-overs of counts to the page.
	reportInterval = 5 * time.Second
	// maxRoutes bounds the routes with labels of their own.
	maxRoutes = 256
	// otherRoute stands for routes beyond the bound.
	otherRoute = "other"
)

// Config holds what a Recorder is built from.
type Config struct {
	// Load returns how busy the backend server is.
	Load func() lagoonlanding.Load
	// DroppedLines returns how many log lines were dropped.
	DroppedLines func() uint64
	// Failed is told of metrics that cannot be served.
	Failed func(err error)
}

// Recorder counts what becomes of requests; it is safe for use by many goroutines.
type Recorder struct {
	config  Config
	scope   tally.Scope
	handler http.Handler

	mutex  sync.Mutex
	routes map[string]bool
}

// New returns a recorder that has counted nothing yet.
func New(config Config) *Recorder {
	registry := client.NewRegistry()
	sink := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry, OnRegisterError: config.Failed})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "lagoonmesh", CachedReporter: sink, Separator: prometheus.DefaultSeparator, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Recorder{config: config, scope: scope, handler: sink.HTTPHandler(), routes: map[string]bool{}}
}

// Handler returns the page of metrics.
func (recorder *Recorder) Handler() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		load := recorder.config.Load()
		recorder.scope.Gauge("backend_running").Update(float64(load.Running()))
		recorder.scope.Gauge("backend_waiting").Update(float64(load.Waiting()))
		recorder.scope.Gauge("backend_slots").Update(float64(load.Slots()))
		recorder.scope.Gauge("log_lines_dropped").Update(float64(recorder.config.DroppedLines()))
		recorder.handler.ServeHTTP(writer, request)
	})
}

// Ended counts a request of a client and how long it took.
func (recorder *Recorder) Ended(task lagoonlanding.Task, result lagoonlanding.Result, tries int, took time.Duration) {
	byRoute := recorder.scope.Tagged(map[string]string{"route": recorder.label(task.Route()), "service": task.Service()})
	byRoute.Histogram("request_seconds", buckets).RecordDuration(took)
	byRoute.Tagged(map[string]string{"outcome": result.Outcome().String(), "reason": string(result.Reason())}).Counter("requests").Inc(1)
	if tries > 1 {
		byRoute.Counter("further_tries").Inc(int64(tries - 1))
	}
}

func (recorder *Recorder) label(route string) string {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if !recorder.routes[route] && len(recorder.routes) >= maxRoutes {
		return otherRoute
	}
	recorder.routes[route] = true
	return route
}

// buckets reach from an answer nearby to the longest deadline.
var buckets = tally.DurationBuckets{
	5 * time.Millisecond, 13 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
	800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 15 * time.Second,
}
