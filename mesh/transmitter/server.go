package transmitter

import (
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/connector"
)

// ServerConfig holds the dependencies of a Server.
type ServerConfig struct {
	// Handler handles the tasks of other daemons.
	Handler lagoonlanding.TaskHandler
	// Feeds are the feeds that the daemon relays, by key prefix.
	Feeds map[string]lagoonlanding.PeerFeed
	// Store executes the calls of daemons that are disconnected from the store.
	Store lagoonlanding.LeaseStore
	// Quota handles the reports of other daemons about quotas; nil if there are none.
	Quota lagoonlanding.QuotaHandler
	// Clock returns the current time.
	Clock lagoonlanding.Clock
	// Log receives one line per message that cannot be decoded.
	Log *logrus.Entry
}

// Server serves the requests of other daemons.
type Server struct {
	config ServerConfig
}

// NewServer returns a server.
func NewServer(config ServerConfig) *Server { return &Server{config: config} }

// ServeHTTP handles a task, a feed request or a store call.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	isCompact := request.Header.Get(headerCompactTask) != ""
	isExtended := acceptsLevel(request.Header)
	if !isCompact && request.Header.Get(headerTask) == "" {
		switch request.URL.Path {
		case feedPath:
			server.serveFeed(writer, request)
			return
		case storePath:
			server.serveStore(writer, request)
			return
		case quotaPath:
			server.serveQuota(writer, request)
			return
		}
	}
	now := server.config.Clock.Now()
	header := connector.EndToEnd(request.Header)
	config, err := decodeTask(header, now)
	if err != nil {
		server.config.Log.WithError(err).Warn("Cannot decode the task of a daemon; it was rejected.")
		// What follows on the connection may be a part of the task.
		writer.Header().Set("Connection", "close")
		http.Error(writer, "malformed task", http.StatusBadRequest)
		return
	}
	config.Method, config.Host, config.Target, config.Header = request.Method, request.Host, request.RequestURI, header
	config.Body, config.BodyLength = request.Body, request.ContentLength
	task := lagoonlanding.NewTask(config)
	result := server.config.Handler.Handle(request.Context(), task)
	server.respondTask(writer, task, result, isCompact, isExtended)
}

// decodeTask decodes the metadata of a task in either form and removes them from the header.
func decodeTask(header http.Header, now time.Time) (lagoonlanding.TaskConfig, error) {
	if header.Get(headerCompactTask) != "" {
		return decodeCompactTask(header, now)
	}
	return decodeHeader[lagoonlanding.TaskConfig, taskMetadata](header, headerTask, now)
}

// Refuse responds that a task was not run because the daemon is shutting down.
func (server *Server) Refuse(writer http.ResponseWriter) {
	server.respondTask(writer, lagoonlanding.Task{}, lagoonlanding.NotRun(lagoonlanding.ReasonShuttingDown, time.Time{}), false, false)
}

func (server *Server) respondTask(writer http.ResponseWriter, task lagoonlanding.Task, result lagoonlanding.Result, isCompact, isExtended bool) {
	metadata := newResultMetadata(server.config.Clock.Now(), result)
	if isCompact {
		encodeCompactResult(writer.Header(), metadata, isExtended)
	} else if err := encodeHeader(writer.Header(), headerResult, metadata); err != nil {
		server.config.Log.WithField("request", task.ID()).WithError(err).Error("Cannot encode result; the connection is closed.")
		// Aborting closes the connection, so the sender treats the outcome as unknown.
		panic(http.ErrAbortHandler)
	}
	if result.Outcome() != lagoonlanding.OutcomeAnswered {
		writer.WriteHeader(http.StatusNoContent)
		return
	}
	WriteAnswer(writer, result.Answer())
}

// WriteAnswer writes an answer; if its body breaks off, it aborts the connection, so that the response does not look complete.
func WriteAnswer(writer http.ResponseWriter, answer lagoonlanding.Answer) {
	defer answer.Body().Close()
	for name, values := range answer.Header() {
		writer.Header()[name] = values
	}
	writer.WriteHeader(answer.Status())
	if _, err := io.Copy(writer, answer.Body()); err != nil {
		panic(http.ErrAbortHandler)
	}
}
