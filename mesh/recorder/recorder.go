package recorder

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// reportInterval is the interval at which the scope is flushed to the Prometheus reporter.
	reportInterval = 5 * time.Second
	// maxRoutes limits the routes with a label of their own, to bound the cardinality of the metrics.
	maxRoutes = 256
	// otherRoutes is the label of all routes beyond the limit.
	otherRoutes = "other"
)

// Config holds the dependencies of a Recorder.
type Config struct {
	// Load returns the load of the backend server.
	Load func() lagoonlanding.Load
	// Admission returns the totals of the overload control.
	Admission func() lagoonlanding.AdmissionCounts
	// DroppedLines returns the number of dropped log lines.
	DroppedLines func() uint64
	// Memory returns what is held in memory; nil if that is not reported.
	Memory func() MemoryReport
	// OnError is called when a metric cannot be registered.
	OnError func(err error)
}

// Recorder records metrics of requests and connections; it is safe for concurrent use.
type Recorder struct {
	config  Config
	scope   tally.Scope
	handler http.Handler

	mutex  sync.Mutex
	routes map[string]bool
	// workspaces are those with a label of their own.
	workspaces map[string]bool
}

var (
	_ lagoonlanding.TaskMeter       = (*Recorder)(nil)
	_ lagoonlanding.ConnectionMeter = (*Recorder)(nil)
	_ lagoonlanding.StoreMeter      = (*Recorder)(nil)
)

// New returns a recorder without any counts.
func New(config Config) *Recorder {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry, OnRegisterError: config.OnError})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "lagoonmesh", CachedReporter: reporter, Separator: prometheus.DefaultSeparator, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Recorder{config: config, scope: scope, handler: reporter.HTTPHandler(), routes: map[string]bool{}, workspaces: map[string]bool{}}
}

// Handler returns the HTTP handler that serves the metrics.
func (recorder *Recorder) Handler() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		load := recorder.config.Load()
		recorder.scope.Gauge("backend_running").Update(float64(load.Running()))
		recorder.scope.Gauge("backend_waiting").Update(float64(load.Waiting()))
		recorder.scope.Gauge("backend_slots").Update(float64(load.Slots()))
		recorder.scope.Gauge("backend_limit").Update(load.Limit())
		recorder.updateAdmission(load)
		recorder.scope.Gauge("log_lines_dropped").Update(float64(recorder.config.DroppedLines()))
		if recorder.config.Memory != nil {
			recorder.reportMemory(recorder.config.Memory())
		}
		recorder.handler.ServeHTTP(writer, request)
	})
}

// Ended records the result, the number of tries and the duration of a client's request.
func (recorder *Recorder) Ended(task lagoonlanding.Task, result lagoonlanding.Result, tries int, took time.Duration) {
	routeScope := recorder.scope.Tagged(map[string]string{"route": recorder.routeLabel(task.Route()), "service": task.Service()})
	routeScope.Histogram("request_seconds", latencyBuckets).RecordDuration(took)
	routeScope.Tagged(map[string]string{"outcome": result.Outcome().String(), "reason": string(result.Reason())}).Counter("requests").Inc(1)
	if tries > 1 {
		routeScope.Counter("further_tries").Inc(int64(tries - 1))
	}
}

// ReadAhead counts a request that was read before those before it on its connection had been answered.
func (recorder *Recorder) ReadAhead() { recorder.scope.Counter("requests_read_ahead").Inc(1) }

// Held records how long a finished response waited for those before it on its connection.
func (recorder *Recorder) Held(took time.Duration) {
	recorder.scope.Histogram("response_held_seconds", latencyBuckets).RecordDuration(took)
}

// Called counts a call to the store by kind, and whether the store answered it.
func (recorder *Recorder) Called(kind string, answered bool) {
	recorder.scope.Tagged(map[string]string{"kind": kind, "answered": strconv.FormatBool(answered)}).Counter("store_calls").Inc(1)
}

// Silent counts a connection that went silent without being closed or reset.
func (recorder *Recorder) Silent() { recorder.scope.Counter("connections_silent").Inc(1) }

// Panicked counts a request whose handler panicked.
func (recorder *Recorder) Panicked() { recorder.scope.Counter("requests_panicked").Inc(1) }

// Transferred counts the bytes of an exchange with a peer of the given kind at the given distance.
func (recorder *Recorder) Transferred(kind, distance string, sent, received int) {
	scope := recorder.scope.Tagged(map[string]string{"kind": kind, "distance": distance})
	scope.Tagged(map[string]string{"direction": "sent"}).Counter("bytes").Inc(int64(sent))
	scope.Tagged(map[string]string{"direction": "received"}).Counter("bytes").Inc(int64(received))
}

func (recorder *Recorder) routeLabel(route string) string {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if !recorder.routes[route] && len(recorder.routes) >= maxRoutes {
		return otherRoutes
	}
	recorder.routes[route] = true
	return route
}

// latencyBuckets range from the latency within a zone to the longest deadline.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 13 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
	800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 15 * time.Second,
}
