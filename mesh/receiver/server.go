package receiver

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/budgeter"
	"lagoonlanding.example/lagoonlanding/mesh/drainer"
)

// acceptRetryDelay is the delay after a failed accept, for example while the process has no free descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Config holds the dependencies and limits of a Server.
type Config struct {
	// Handler handles the requests.
	Handler http.Handler
	// Refuse responds to a request that arrives too late in a shutdown.
	Refuse func(writer http.ResponseWriter)
	// Overlaps reports whether a request can safely run twice, so that it may run beside others of its connection; nil means that none can.
	Overlaps func(request *http.Request) bool
	// AllowsFrames means that clients may send compact heads.
	AllowsFrames bool
	// Drain counts the requests in progress.
	Drain *drainer.Drain
	// Memory bounds what is held for clients; nil for no bound.
	Memory *budgeter.Budget
	// Meter records metrics of connections.
	Meter lagoonlanding.ConnectionMeter
	// Log receives one line per request that fails in the server.
	Log *logrus.Entry
	// HeaderTimeout limits the time in which a client must send a head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without requests is kept open.
	IdleTimeout time.Duration
	// MaxHeaderBytes limits the size of a head.
	MaxHeaderBytes int
}

// Server serves HTTP/1.1 connections.
type Server struct {
	config Config
}

// New returns a server.
func New(config Config) *Server { return &Server{config: config} }

// Serve accepts connections until the listener is closed.
func (server *Server) Serve(listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			server.config.Log.WithError(err).Warn("Cannot accept a connection. Retrying after a delay.")
			time.Sleep(acceptRetryDelay)
			continue
		}
		opened, ok := newConnection(server.config, accepted)
		if !ok {
			// The budget has no room even for reading a request, which therefore never runs.
			reset(accepted)
			continue
		}
		go opened.serve()
	}
}
